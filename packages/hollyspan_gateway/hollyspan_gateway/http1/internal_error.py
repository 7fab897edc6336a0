"""Answers to requests that fail with an unexpected error."""

import eliot
from twisted.internet import defer
from twisted.web import http

__all__ = ["answer_internal_error"]


def answer_internal_error(failure, request):
    """Log an unhandled error and answer its request with status 500.

    Parameters
    ----------
    failure : Failure
    request : ClientRequest

    Notes
    -----
    Cancelled work is ignored, since its client has disconnected.
    """
    if failure.check(defer.CancelledError):
        return
    eliot.write_failure(failure)
    request.answer(http.INTERNAL_SERVER_ERROR, [], b"internal error\n")
