"""Loads of the upstreams of a region, for the gateways of other regions."""

from .load_broadcast import build_total

__all__ = ["list_totals"]


def list_totals(gateway):
    """Return the total load of each upstream in a gateway's region."""
    now = gateway.reactor.seconds()
    return [
        build_total(upstream, now=now)
        for upstream in gateway.directory.upstreams.values()
        if upstream.region == gateway.peers.region
    ]
