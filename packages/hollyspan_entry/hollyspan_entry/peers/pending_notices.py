"""Notices that wait for an answer from the owner of an upstream."""

from .pending_notice import PendingNotice

__all__ = ["PendingNotices"]

# A datagram may be lost, so an unanswered notice is resent once.
RESEND_DELAY_S = 0.03
# Counted from the resend; an owner that is silent for longer is treated as
# unresponsive.
ANSWER_TIMEOUT_S = 0.05


class PendingNotices:
    """Tracks notices until they are answered or time out.

    Parameters
    ----------
    reactor : IReactorTime
    on_timeout : callable
        Called with the owner and an upstream when no answer was received.

    Attributes
    ----------
    by_sequence : dict
        PendingNotice by sequence number.
    """

    __slots__ = ("reactor", "on_timeout", "by_sequence")

    def __init__(self, *, reactor, on_timeout):
        self.reactor = reactor
        self.on_timeout = on_timeout
        self.by_sequence = {}

    def send_notice(self, owner, *, sequence, upstreams, send):
        """Send a notice and wait for its answer.

        Parameters
        ----------
        owner : str
        sequence : int
            Sequence number of the notice.
        upstreams : sequence of Upstream
        send : callable
            Sends the notice; called without arguments.
        """
        pending_notice = PendingNotice(
            owner=owner, sequence=sequence, upstreams=upstreams, send=send
        )
        self.by_sequence[sequence] = pending_notice
        send()
        self.call_later(RESEND_DELAY_S, self.resend, pending_notice)

    def call_later(self, seconds, function, pending_notice):
        pending_notice.timer = self.reactor.callLater(
            seconds, function, pending_notice
        )

    def resend(self, pending_notice):
        """Resend a notice."""
        pending_notice.send()
        self.call_later(ANSWER_TIMEOUT_S, self.defer_expiry, pending_notice)

    def defer_expiry(self, pending_notice):
        """Expire a notice after the reactor has read the pending datagrams."""
        self.call_later(0, self.expire, pending_notice)

    def expire(self, pending_notice):
        """Report the owner of a notice as silent."""
        self.by_sequence.pop(pending_notice.sequence, None)
        for upstream in pending_notice.upstreams:
            self.on_timeout(pending_notice.owner, upstream)

    def confirm(self, owner, *, sequence):
        """Remove the notices that an answer covers.

        Parameters
        ----------
        owner : str
        sequence : int
            Sequence number of the last notice that the owner received.
        """
        for pending_notice in list(self.by_sequence.values()):
            if (
                pending_notice.owner == owner
                and pending_notice.sequence <= sequence
            ):
                self.discard(pending_notice)

    def discard(self, pending_notice):
        del self.by_sequence[pending_notice.sequence]
        if pending_notice.timer.active():
            pending_notice.timer.cancel()

    def stop(self):
        """Discard all pending notices."""
        for pending_notice in list(self.by_sequence.values()):
            self.discard(pending_notice)
