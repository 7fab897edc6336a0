"""Taking the instance list over into the registry of upstreams."""

import time

from hollyspan_core.configuration import Scope

from ..upstreams import Upstream
from .seed import Seed

__all__ = ["Registration"]

DEFAULT_SLOTS = 8
REMOVE_SECONDS = 30.0


class Registration:
    """Compares the list with the registry at each poll.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    missing : dict
        Monotonic seconds since when an upstream is no longer listed, by
        name.
    """

    __slots__ = ("runtime", "missing")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.missing = {}

    def apply(self, endpoints, *, now):
        """Take in one answer of the instance list.

        Parameters
        ----------
        endpoints : list of Endpoint
        now : float
            Monotonic seconds.
        """
        if not endpoints:
            # More likely a fault of the list than the end of the fleet.
            return
        listed = [e for e in endpoints if e.kind != "daemon"]
        for endpoint in listed:
            self.take_endpoint(endpoint, now=now)
        self.remove_missing({e.name for e in listed}, now=now)
        self.take_seeds([e for e in endpoints if e.kind == "daemon"])
        self.runtime.departures.forget_old(now=now)
        self.update_slots()

    def take_endpoint(self, endpoint, *, now):
        """Add or update one upstream."""
        if "http" not in endpoint.ports:
            return
        upstreams = self.runtime.upstreams
        fresh = build_upstream(endpoint)
        known = upstreams.by_name.get(endpoint.name)
        if known is not None and known.url != fresh.url:
            upstreams.remove(known.name)
            known = None
        self.missing.pop(endpoint.name, None)
        if not endpoint.serving:
            if known is not None:
                upstreams.mark_leaving(known.name)
            return
        held = self.runtime.departures.holds(
            endpoint.name, endpoint=fresh.url, now=now
        )
        if known is None:
            upstreams.add(fresh)
            known = fresh
        if held:
            upstreams.mark_leaving(known.name)
        elif known.leaving:
            known.leaving = False

    def remove_missing(self, listed, *, now):
        """Drop the upstreams that are listed no longer."""
        upstreams = self.runtime.upstreams
        for upstream in list(upstreams.by_name.values()):
            if upstream.name in listed:
                continue
            since = self.missing.setdefault(upstream.name, now)
            upstreams.mark_leaving(upstream.name)
            idle = not upstream.online and not upstream.batch
            if idle and now - since >= REMOVE_SECONDS:
                upstreams.remove(upstream.name)
                del self.missing[upstream.name]

    def take_seeds(self, endpoints):
        """Take over where the daemons are."""
        seeds = {
            endpoint.name: Seed(
                instance=endpoint.name,
                data_centre=endpoint.data_centre,
                address=endpoint.address,
                peer_port=endpoint.ports["peer"],
            )
            for endpoint in endpoints
            if "peer" in endpoint.ports
        }
        if seeds:
            self.runtime.seeds = seeds

    def update_slots(self):
        """Set the slots that the configuration gives each upstream."""
        configuration = self.runtime.configurations.current
        if configuration is None:
            return
        now = time.time()
        for upstream in self.runtime.upstreams.by_name.values():
            upstream.slots = read_slots(upstream, configuration, now=now)


def build_upstream(endpoint):
    return Upstream(
        name=endpoint.name,
        kind=endpoint.kind,
        service=endpoint.service,
        data_centre=endpoint.data_centre,
        address=endpoint.address,
        port=endpoint.ports["http"],
        slots=DEFAULT_SLOTS,
    )


def read_slots(upstream, configuration, *, now):
    scope = Scope(
        service=upstream.service,
        data_centre=upstream.data_centre,
        upstream=upstream.name,
    )
    return configuration.get("upstream.slots", scope=scope, now=now)
