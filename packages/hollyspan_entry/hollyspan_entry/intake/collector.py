"""Collector of the body of a response."""

import eliot
from twisted.internet import defer
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http

from hollyspan_core.errors import IntakeExceededError

from .endings import is_clean_end
from .keeping import open_keeping
from .tally import count_pieces

__all__ = ["collect_body"]


async def collect_body(
    response, *, limits, budget, sender, reactor=None, timeout=None
):
    """Read the complete body of a response.

    Parameters
    ----------
    response : IResponse
    limits : IntakeLimits
        Limits on this body.
    budget : ByteBudget
        Limit on all that is kept of bodies at once.
    sender : str
        Program that answers.
    reactor : IReactorTime, optional
    timeout : float, optional
        Seconds within which the body must arrive.

    Returns
    -------
    bytes

    Raises
    ------
    IntakeExceededError
        The body exceeds a limit; its connection is closed.
    ResponseFailed
        The body broke off.
    TimeoutError
        It has not arrived in time; its connection is closed.

    Notes
    -----
    A body without a length is complete only if its connection was closed
    cleanly.
    """
    with open_keeping(limits=limits, budget=budget, sender=sender) as count:
        collector = BodyCollector(count=count)
        response.deliverBody(collector)
        if is_longer(response, limits.content_bytes):
            collector.fail(
                IntakeExceededError(
                    f"{limits.what} exceeds {limits.content_bytes} bytes"
                )
            )
        if timeout is not None:
            collector.done.addTimeout(timeout, reactor)
        try:
            return await collector.done
        except IntakeExceededError as error:
            eliot.log_message(
                message_type="intake:exceeded",
                sender=sender,
                reason=error.message,
            )
            raise


def is_longer(response, limit):
    """Return whether the head of a response announces a longer body."""
    return isinstance(response.length, int) and response.length > limit


class BodyCollector(protocol.Protocol):
    """Collects the body of a response.

    Parameters
    ----------
    count : callable
        Called with the size of each piece; raises IntakeExceededError.

    Attributes
    ----------
    done : Deferred
        Fires with the bytes of the complete body; fails when the body breaks
        off or exceeds a limit. Cancelling it closes the connection.
    """

    def __init__(self, *, count):
        self.count = count
        self.parts = []
        self.done = defer.Deferred(lambda _: self.close())

    def dataReceived(self, data):
        count_pieces(1)
        if self.done.called:
            return
        try:
            self.count(len(data))
        except IntakeExceededError as error:
            self.fail(error)
        else:
            self.parts.append(data)

    def fail(self, error):
        """Close the connection and report an error."""
        if not self.done.called:
            self.close()
            self.done.errback(error)

    def close(self):
        """Close the connection and drop what was read."""
        self.parts.clear()
        if self.transport is not None:
            self.transport.loseConnection()

    def connectionLost(self, reason):
        if self.done.called:
            return
        is_complete = reason.check(client.ResponseDone) or (
            reason.check(http.PotentialDataLoss) and is_clean_end()
        )
        if is_complete:
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(client.ResponseFailed([reason]))
