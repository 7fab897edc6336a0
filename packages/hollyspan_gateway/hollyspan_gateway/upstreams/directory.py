"""Directory of the upstreams of the fleet."""

import collections

import eliot

from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.leases import choose_expired_services

from .departures import Departures
from .upstream import Upstream

__all__ = ["Directory"]

# Time after an outage of the store in which entries that expired during it are
# registered again. The platform states about two seconds. The value must stay
# below the 2.5 s within which new sends to a departed upstream must stop; it
# counts from the change in the store.
EXPIRY_GRACE_S = 2.2
# Back-off after a failed send, doubled with each further one up to the time
# after which the store removes a crashed upstream's entry, three heartbeats.
SUSPECT_BACKOFF_S = 0.4
MAX_SUSPECT_BACKOFF_S = 3.0
# Back-off after a failed connection attempt: such an upstream has mostly
# terminated, and its entry is removed soon after.
UNREACHABLE_BACKOFF_S = 2.0
# Back-off after a peer reported a failed connection attempt; the peer itself
# may be the one that is partitioned.
PEER_REPORT_BACKOFF_S = 1.0
# A load report of the upstream younger than this overrides the peer's report.
RECENT_REPORT_AGE_S = 0.3


class Directory:
    """Upstreams by name.

    Parameters
    ----------
    reactor : twisted reactor
    find_region : callable
        Returns the region of a data centre.
    on_leaving : callable
        Called with an Upstream that no longer accepts new work.
    on_replaced : callable
        Called with an Upstream whose name another process has taken.
    on_change : callable
        Called with an Upstream of which the peers are to be told.

    Attributes
    ----------
    upstreams, by_key : dict
        Upstream by its name, and by the hash of its name.
    by_service : dict
        Upstreams of each service, in the order of `upstreams`.
    indexed_count : int or None
        Number of upstreams in `by_service`, None once one has changed.
    departures : Departures
        Upstreams that have announced their shutdown in an answer.
    """

    __slots__ = (
        "reactor",
        "find_region",
        "on_leaving",
        "on_replaced",
        "on_change",
        "upstreams",
        "by_key",
        "by_service",
        "indexed_count",
        "departures",
    )

    def __init__(
        self, *, reactor, find_region, on_leaving, on_replaced, on_change
    ):
        self.reactor = reactor
        self.find_region = find_region
        self.on_leaving = on_leaving
        self.on_replaced = on_replaced
        self.on_change = on_change
        self.upstreams = {}
        self.by_key = {}
        self.by_service = {}
        self.indexed_count = None
        self.departures = Departures()

    def update(self, entries, *, expiry_grace_until=0.0, change_age=0.0):
        """Update the directory from the entries in the store.

        Parameters
        ----------
        entries : dict
            UpstreamEntry by name.
        expiry_grace_until : float, optional
            Time until which a missing entry may have expired during an outage
            of the store, reactor seconds; such upstreams are kept.
        change_age : float, optional
            Time by which the changes may be older than this call, seconds.

        Returns
        -------
        float or None
            Time at which the update has to be repeated with the same
            entries, since a missing upstream is kept until then.
        """
        for name, entry in entries.items():
            self.update_entry(name, entry)
        missing = [
            upstream
            for name, upstream in self.upstreams.items()
            if name not in entries
        ]
        now = self.reactor.seconds()
        expired = self.find_expired(missing)
        for upstream in missing:
            if upstream.is_listed:
                upstream.is_listed = False
                upstream.kept_until = expiry_grace_until
                if upstream in expired:
                    upstream.kept_until = max(
                        expiry_grace_until, now + EXPIRY_GRACE_S - change_age
                    )
            if now >= upstream.kept_until or not upstream.accepts_work:
                self.remove(upstream)
        kept = [
            upstream.kept_until
            for upstream in self.upstreams.values()
            if not upstream.is_listed
        ]
        return min(kept, default=None)

    def update_entry(self, name, entry):
        existing = self.upstreams.get(name)
        if existing is None or existing.entry.identity != entry.identity:
            region = hash_parts(self.find_region(entry.data_centre))
            upstream = Upstream(entry=entry, region=region)
            upstream.has_departed = entry.incarnation_key in self.departures
            if existing is not None:
                upstream.incarnation.follow(
                    existing.incarnation, now=self.reactor.seconds()
                )
                existing.incarnation.note_gone()
                # Reports about the earlier incarnation do not apply.
                upstream.rate_limit.seen_at = self.reactor.seconds()
                upstream.pace.interrupt(now=self.reactor.seconds())
            self.upstreams[name] = upstream
            self.by_key[entry.key] = upstream
            self.indexed_count = None
            log_change("upstream:listed", entry)
            if existing is not None:
                self.on_replaced(existing)
            return
        was_ready = existing.entry.is_ready
        if entry.is_ready and not was_ready:
            existing.pace.interrupt(now=self.reactor.seconds())
        if existing.entry.service != entry.service:
            self.indexed_count = None
        existing.entry = entry
        existing.is_listed = True
        if was_ready and not entry.is_ready:
            log_change("upstream:leaving", entry)
            self.on_leaving(existing)

    def find_expired(self, missing):
        """Return missing upstreams whose entries may have expired."""
        vanished = [
            upstream
            for upstream in missing
            if upstream.is_listed and upstream.accepts_work
        ]
        if not vanished:
            return []
        listed_counts = collections.Counter(
            upstream.entry.service
            for upstream in self.upstreams.values()
            if upstream.is_listed and upstream.accepts_work
        )
        vanished_counts = collections.Counter(
            upstream.entry.service for upstream in vanished
        )
        services = choose_expired_services(listed_counts, vanished_counts)
        for service in sorted(services):
            eliot.log_message(
                "upstreams:lapsed",
                service=service,
                missing=vanished_counts[service],
                known=listed_counts[service],
                seconds=EXPIRY_GRACE_S,
            )
        return [
            upstream
            for upstream in vanished
            if upstream.entry.service in services
        ]

    def remove(self, upstream):
        """Remove an upstream from the directory."""
        del self.upstreams[upstream.entry.name]
        del self.by_key[upstream.entry.key]
        self.indexed_count = None
        log_change("upstream:gone", upstream.entry)
        self.on_leaving(upstream)
        upstream.entry.is_ready = False

    def list_members(self, service):
        """Return the upstreams of a service, whether or not usable.

        They are gathered anew after a change, which is rare beside requests.
        """
        if self.indexed_count != len(self.upstreams):
            self.by_service = {}
            for upstream in self.upstreams.values():
                self.by_service.setdefault(upstream.entry.service, []).append(
                    upstream
                )
            self.indexed_count = len(self.upstreams)
        return self.by_service.get(service, ())

    def list_usable(self, service):
        """Return the upstreams of a service that accept new work.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of Upstream
        """
        return [
            upstream
            for upstream in self.list_members(service)
            if upstream.accepts_work
        ]

    def note_departure(self, upstream):
        """Send nothing new to an upstream that has announced its shutdown."""
        if self.note_reported_departure(upstream.entry.incarnation_key):
            upstream.has_unsent_departure = True

    def note_reported_departure(self, key):
        """Note a departure that a peer reported.

        Parameters
        ----------
        key : int
            Key of the upstream's incarnation, which may not be listed here.

        Returns
        -------
        bool
            False when it was known already.
        """
        if not self.departures.note(key, now=self.reactor.seconds()):
            return False
        for upstream in self.upstreams.values():
            if upstream.entry.incarnation_key == key:
                upstream.has_departed = True
                log_change("upstream:departing", upstream.entry)
                self.on_leaving(upstream)
        return True

    def note_unreachable(self, upstream):
        """Back off from an upstream after a failed connection attempt."""
        self.note_failure(upstream, first_backoff=UNREACHABLE_BACKOFF_S)

    def tell_unreachable(self, upstream):
        """Tell the peers of a failed connection attempt."""
        upstream.has_unsent_failure = True
        self.on_change(upstream)

    def note_reported_unreachable(self, upstream, *, peer):
        """Back off from an upstream that a peer reported as unreachable.

        Parameters
        ----------
        upstream : Upstream
        peer : str
            Identifier of the peer.

        Notes
        -----
        The peer's own link may be lost. Its word counts until the upstream
        answers anybody, or the peer tells of lost links.
        """
        now = self.reactor.seconds()
        last_sign = max(upstream.reported_at, upstream.link.alive_at)
        is_ignored = now - last_sign < RECENT_REPORT_AGE_S
        eliot.log_message(
            "upstream:reported_unreachable",
            upstream=upstream.entry.name,
            peer=peer,
            is_ignored=is_ignored,
        )
        if not is_ignored:
            upstream.link.doubts[peer] = now + PEER_REPORT_BACKOFF_S

    def discard_doubts(self, peer):
        """Discard what a peer without links has told of upstreams."""
        for upstream in self.upstreams.values():
            upstream.link.doubts.pop(peer, None)

    def note_failure(self, upstream, *, first_backoff=SUSPECT_BACKOFF_S):
        """Back off from an upstream after a failed send."""
        backoff = min(
            MAX_SUSPECT_BACKOFF_S, first_backoff * 2**upstream.failures
        )
        upstream.failures += 1
        upstream.suspect_until = self.reactor.seconds() + backoff
        eliot.log_message(
            "upstream:suspect",
            upstream=upstream.entry.name,
            failures=upstream.failures,
            seconds=backoff,
        )

    def note_success(self, upstream):
        """End the back-off from an upstream after an answer."""
        upstream.failures = 0
        upstream.suspect_until = 0.0


def log_change(message, entry):
    eliot.log_message(
        message,
        upstream=entry.name,
        service=entry.service,
        data_centre=entry.data_centre,
        version=entry.version,
    )
