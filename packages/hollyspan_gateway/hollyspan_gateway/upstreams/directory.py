"""The upstreams of the fleet."""

import eliot

from hollyspan_policy.hashing import hash_parts

from .upstream import Upstream

__all__ = ["Directory"]

# Seconds after the store's return in which entries that lapsed meanwhile come
# back: about two, as the platform states, and less than the 2.5 s in which
# nothing new may be sent to an upstream that has left.
LAPSE_GRACE_S = 2.2
# Share of a service's upstreams that vanish together when entries lapse.
LAPSE_SHARE = 0.5
# Pause in new work after a failed send, seconds, doubled with each further
# one up to the time in which the store takes a crashed upstream's entry away,
# three heartbeats.
SUSPECT_S = 0.4
LONGEST_SUSPECT_S = 3.0
# Pause after a connection that could not be made, seconds: such an upstream
# is mostly gone, and its entry follows.
UNREACHABLE_S = 2.0
# Pause after a peer's word of that, seconds; the peer may be the one that is
# cut off.
HEARSAY_S = 1.0
# A report of the upstream that is younger than this, seconds, outweighs it.
RECENT_REPORT_S = 0.3


class Directory:
    """Upstreams by name.

    Parameters
    ----------
    reactor : twisted reactor
    find_region : callable
        Returns the region of a data centre.
    on_leaving : callable
        Called with an Upstream that no longer takes new work.

    Attributes
    ----------
    upstreams, by_key : dict
        Upstream by its name, and by the hash of it.
    """

    __slots__ = ("reactor", "find_region", "on_leaving", "upstreams", "by_key")

    def __init__(self, *, reactor, find_region, on_leaving):
        self.reactor = reactor
        self.find_region = find_region
        self.on_leaving = on_leaving
        self.upstreams = {}
        self.by_key = {}

    def update(self, entries, *, lapse_until=0.0):
        """Take over what the store lists.

        Parameters
        ----------
        entries : dict
            UpstreamEntry by name.
        lapse_until : float, optional
            Time of the reactor until which a missing entry may only have
            lapsed while the store was away; such upstreams are kept.

        Returns
        -------
        float or None
            Time at which the same list has to be taken again, since an
            upstream that it misses is kept until then.
        """
        for name, entry in entries.items():
            self.update_entry(name, entry)
        missing = [
            upstream
            for name, upstream in self.upstreams.items()
            if name not in entries
        ]
        now = self.reactor.seconds()
        lapsed = self.find_lapsed(missing)
        for upstream in missing:
            if upstream.is_listed:
                upstream.is_listed = False
                upstream.kept_until = lapse_until
                if upstream in lapsed:
                    upstream.kept_until = max(lapse_until, now + LAPSE_GRACE_S)
            if now >= upstream.kept_until or not upstream.entry.is_ready:
                self.remove(upstream)
        kept = [
            upstream.kept_until
            for upstream in self.upstreams.values()
            if not upstream.is_listed
        ]
        return min(kept, default=None)

    def update_entry(self, name, entry):
        known = self.upstreams.get(name)
        if known is None or known.entry.born != entry.born:
            region = hash_parts(self.find_region(entry.data_centre))
            upstream = Upstream(entry=entry, region=region)
            self.upstreams[name] = upstream
            self.by_key[entry.key] = upstream
            log_change("upstream:listed", entry)
            return
        was_ready = known.entry.is_ready
        known.entry = entry
        known.is_listed = True
        if was_ready and not entry.is_ready:
            log_change("upstream:leaving", entry)
            self.on_leaving(known)

    def find_lapsed(self, missing):
        """Return missing upstreams whose entries may only have lapsed.

        Notes
        -----
        Entries that lapse while the store is away vanish together at its
        return, which a waiting watch does not tell from a change. Upstreams
        that leave go one after the other.
        """
        lapsed = []
        for service in {upstream.entry.service for upstream in missing}:
            listed = [
                upstream
                for upstream in self.upstreams.values()
                if upstream.entry.service == service
                and upstream.is_listed
                and upstream.entry.is_ready
            ]
            gone = [upstream for upstream in listed if upstream in missing]
            if gone and len(gone) >= LAPSE_SHARE * len(listed):
                lapsed += gone
                eliot.log_message(
                    "upstreams:lapsed",
                    service=service,
                    missing=len(gone),
                    known=len(listed),
                    seconds=LAPSE_GRACE_S,
                )
        return lapsed

    def remove(self, upstream):
        """Forget an upstream that is gone."""
        del self.upstreams[upstream.entry.name]
        del self.by_key[upstream.entry.key]
        upstream.entry.is_ready = False
        log_change("upstream:gone", upstream.entry)
        self.on_leaving(upstream)

    def list_usable(self, service):
        """Return the upstreams of a service that take new work.

        Parameters
        ----------
        service : str

        Returns
        -------
        list of Upstream
        """
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.entry.service == service and upstream.entry.is_ready
        ]

    def note_unreachable(self, upstream):
        """Keep new work from an upstream that could not be connected to."""
        upstream.is_unreachable_news = True
        self.note_failure(upstream, first_pause=UNREACHABLE_S)

    def note_hearsay(self, upstream):
        """Take a peer's word that an upstream cannot be reached."""
        now = self.reactor.seconds()
        if now - upstream.reported_at < RECENT_REPORT_S:
            return
        upstream.suspect_until = max(upstream.suspect_until, now + HEARSAY_S)

    def note_failure(self, upstream, *, first_pause=SUSPECT_S):
        """Keep new work from an upstream for a while after a failed send."""
        pause = min(LONGEST_SUSPECT_S, first_pause * 2**upstream.failures)
        upstream.failures += 1
        upstream.suspect_until = self.reactor.seconds() + pause
        eliot.log_message(
            "upstream:suspect",
            upstream=upstream.entry.name,
            failures=upstream.failures,
            seconds=pause,
        )

    def note_success(self, upstream):
        """Trust an upstream again after an answer."""
        upstream.failures = 0
        upstream.suspect_until = 0.0


def log_change(message, entry):
    eliot.log_message(
        message,
        upstream=entry.name,
        service=entry.service,
        data_centre=entry.data_centre,
    )
