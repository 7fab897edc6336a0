"""Answers to requests that meet a defect."""

import eliot
from twisted.internet import defer
from twisted.web import http

__all__ = ["answer_defect"]


def answer_defect(failure, request):
    """Answer a request whose work raised what nothing handles.

    Parameters
    ----------
    failure : Failure
    request : ClientRequest

    Notes
    -----
    Work that was cancelled has no client left to be answered.
    """
    if failure.check(defer.CancelledError):
        return
    eliot.write_failure(failure)
    request.answer(http.INTERNAL_SERVER_ERROR, [], b"internal error\n")
