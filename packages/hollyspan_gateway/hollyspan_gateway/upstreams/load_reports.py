"""Load reports of upstreams, from their answers and from peers."""

import math

import eliot

__all__ = ["LoadReports"]

# Time between two log lines on reports that cannot be read.
LOG_INTERVAL_S = 10.0


class LoadReports:
    """Records what upstreams tell of their load.

    Parameters
    ----------
    reactor : twisted reactor
    speeds : Speeds

    Attributes
    ----------
    unreadable : int
        Reports in answers of which a figure could not be read.
    next_log_at : float
        Time from which on the next one of these is logged.
    """

    __slots__ = ("reactor", "speeds", "unreadable", "next_log_at")

    def __init__(self, *, reactor, speeds):
        self.reactor = reactor
        self.speeds = speeds
        self.unreadable = 0
        self.next_log_at = -math.inf

    def note_reply(self, upstream, reply):
        """Record the report in an answer, to be sent to peers, too."""
        if reply.unreadable_load is not None:
            self.note_unreadable(upstream, reply.unreadable_load)
        if reply.load is not None:
            self.apply(upstream, reply.load)
            upstream.unsent_report = reply.load

    def apply(self, upstream, report):
        """Record a report, from an answer here or at a peer."""
        upstream.record_report(
            report.running, report.waiting, now=self.reactor.seconds()
        )
        self.speeds.note_told(upstream, report.slowness)

    def apply_peer_load(self, upstream, load):
        """Apply what an upstream has told a peer, and how fast it was."""
        if load.reported is not None:
            self.apply(upstream, load.reported)
            upstream.link.note_answer_elsewhere(now=self.reactor.seconds())
        if load.heard_age is not None:
            upstream.link.note_heard_elsewhere(
                at=self.reactor.seconds() - load.heard_age
            )
        self.speeds.note_measured(upstream, load.run_slowness)

    def note_unreadable(self, upstream, text):
        """Count a report that cannot be read, and log some of these."""
        self.unreadable += 1
        now = self.reactor.seconds()
        if now >= self.next_log_at:
            self.next_log_at = now + LOG_INTERVAL_S
            eliot.log_message(
                "upstream:unreadable_load",
                upstream=upstream.entry.name,
                value=text,
                count=self.unreadable,
            )
