"""The upstreams of the fleet."""

import eliot

from .upstream import Upstream

__all__ = ["Directory"]

# Seconds after the store's return in which entries that lapsed meanwhile come
# back, as the platform states.
LAPSE_GRACE_S = 2.0
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
    on_leaving : callable
        Called with an Upstream that no longer takes new work.
    """

    __slots__ = ("reactor", "on_leaving", "upstreams")

    def __init__(self, *, reactor, on_leaving):
        self.reactor = reactor
        self.on_leaving = on_leaving
        self.upstreams = {}

    def update(self, entries, *, lapse_until=0.0):
        """Take over what the store lists.

        Parameters
        ----------
        entries : dict
            UpstreamEntry by name.
        lapse_until : float, optional
            Time of the reactor until which a missing entry may only have
            lapsed while the store was away; such upstreams are kept.
        """
        for name, entry in entries.items():
            known = self.upstreams.get(name)
            if known is None or known.entry.born != entry.born:
                self.upstreams[name] = Upstream(entry=entry)
                log_change("upstream:listed", entry)
                continue
            was_ready = known.entry.is_ready
            known.entry = entry
            known.is_listed = True
            if was_ready and not entry.is_ready:
                log_change("upstream:leaving", entry)
                self.on_leaving(known)
        now = self.reactor.seconds()
        for name, known in list(self.upstreams.items()):
            if name in entries:
                continue
            if now < lapse_until and known.entry.is_ready:
                known.is_listed = False
                continue
            del self.upstreams[name]
            known.entry.is_ready = False
            log_change("upstream:gone", known.entry)
            self.on_leaving(known)

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
