"""Cancellation of a request that is waiting for its response."""

from twisted.internet import defer

__all__ = ["forward_cancel"]


def forward_cancel(work):
    """Wrap a request so that cancelling it fails with CancelledError.

    Parameters
    ----------
    work : Deferred
        Request; it is cancelled with the returned Deferred.

    Returns
    -------
    Deferred
        Fires with the result of the request.

    Notes
    -----
    A cancelled request by itself fails with the error of a broken or failed
    connection, and its caller would handle it as such a failure.
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
