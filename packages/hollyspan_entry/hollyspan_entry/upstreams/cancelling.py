"""Cancellation of a request that waits for its answer."""

from twisted.internet import defer

__all__ = ["pass_cancel"]


def pass_cancel(work):
    """Return a Deferred that fails with CancelledError when cancelled.

    Parameters
    ----------
    work : Deferred
        A request; it is cancelled too.

    Returns
    -------
    Deferred
        Fires with the result of the request.

    Notes
    -----
    A cancelled request itself fails like one whose connection broke, or was
    never made, and its caller would go on as after such a failure.
    """

    def cancel(answer):
        answer.errback(defer.CancelledError())
        work.cancel()

    def finish(result):
        if not answer.called:
            answer.callback(result)

    answer = defer.Deferred(cancel)
    work.addBoth(finish)
    return answer
