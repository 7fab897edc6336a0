"""Application of the instance list to the registry of upstreams."""

import time

from hollyspan_core.configuration import Scope

from ..upstreams import Upstream
from .seed import Seed

__all__ = ["Registration"]

# Slots of an upstream until the configuration is loaded.
DEFAULT_SLOTS = 8
# Time after which an idle upstream that is no longer listed is removed.
REMOVAL_DELAY_S = 30.0


class Registration:
    """Applies each poll of the instance list to the registry of upstreams.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    missing_since : dict
        Time since which each unlisted upstream has been missing, in
        monotonic seconds, by name.
    """

    __slots__ = ("runtime", "missing_since")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.missing_since = {}

    def apply(self, endpoints, *, now):
        """Apply one answer of the instance list.

        Parameters
        ----------
        endpoints : list of Endpoint
        now : float
            Monotonic seconds.
        """
        if not endpoints:
            # A fault of the list is more likely than the end of all instances.
            return
        listed = [e for e in endpoints if e.kind != "daemon"]
        for endpoint in listed:
            self.apply_endpoint(endpoint, now=now)
        self.remove_missing({e.name for e in listed}, now=now)
        self.update_seeds([e for e in endpoints if e.kind == "daemon"])
        self.runtime.departures.drop_expired(now=now)
        self.update_slots()

    def apply_endpoint(self, endpoint, *, now):
        """Add or update one upstream."""
        if "http" not in endpoint.ports:
            return
        upstreams = self.runtime.upstreams
        listed_upstream = build_upstream(endpoint)
        known = upstreams.by_name.get(endpoint.name)
        if known is not None and known.url != listed_upstream.url:
            upstreams.remove(known.name)
            known = None
        self.missing_since.pop(endpoint.name, None)
        if not endpoint.serving:
            if known is not None:
                upstreams.mark_leaving(known.name)
            return
        is_blocked = self.runtime.departures.blocks(
            endpoint.name, endpoint=listed_upstream.url, now=now
        )
        if known is None:
            upstreams.add(listed_upstream)
            known = listed_upstream
        if is_blocked:
            upstreams.mark_leaving(known.name)
        elif known.leaving:
            known.leaving = False

    def remove_missing(self, listed, *, now):
        """Mark unlisted upstreams as leaving; remove them once idle."""
        upstreams = self.runtime.upstreams
        for upstream in list(upstreams.by_name.values()):
            if upstream.name in listed:
                continue
            since = self.missing_since.setdefault(upstream.name, now)
            upstreams.mark_leaving(upstream.name)
            idle = not upstream.online and not upstream.batch
            if idle and now - since >= REMOVAL_DELAY_S:
                upstreams.remove(upstream.name)
                del self.missing_since[upstream.name]

    def update_seeds(self, endpoints):
        """Update the addresses of the listed daemons."""
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
        """Set the slots of each upstream from the configuration."""
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
