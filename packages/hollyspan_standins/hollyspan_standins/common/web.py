"""JSON requests and answers over twisted.web."""

import json

from twisted.logger import Logger
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from .errors import AnswerError

__all__ = [
    "build_site",
    "drop_connection",
    "read_argument",
    "read_header",
    "read_json",
    "send_json",
]

log = Logger()


class HandlerResource(Resource):
    """Resource that passes every request to one function."""

    isLeaf = True

    def __init__(self, *, handle):
        super().__init__()
        self.handle = handle

    def render(self, request):
        request.is_disconnected = False
        request.notifyFinish().addErrback(mark_disconnected, request)
        try:
            self.handle(request)
        except AnswerError as error:
            send_error(request, error)
        except Exception:
            log.failure("a request failed")
            send_json(request, {"error": {"code": "internal"}}, status=500)
        return NOT_DONE_YET


def mark_disconnected(failure, request):
    """Record that the client has closed the connection."""
    request.is_disconnected = True


def build_site(handle):
    """Build a site that passes each request to ``handle(request)``.

    Notes
    -----
    The function answers the request itself, possibly after it has returned,
    or raises :class:`AnswerError`.
    """
    return Site(HandlerResource(handle=handle))


def read_json(request):
    """Return the JSON object in the body of a request.

    Raises
    ------
    AnswerError
        If the body is not a JSON object.
    """
    body = request.content.read()
    try:
        document = json.loads(body or b"{}")
    except ValueError as error:
        raise AnswerError(
            status=400, code="invalid_json", message=str(error)
        ) from error
    if not isinstance(document, dict):
        raise AnswerError(
            status=400, code="invalid_json", message="an object is needed"
        )
    return document


def read_header(request, name):
    """Return a header as text, or None."""
    return request.getHeader(name)


def read_argument(request, name, default=None):
    """Return one query argument as text."""
    values = request.args.get(name.encode())
    return values[0].decode() if values else default


def send_json(request, document, *, status=200, headers=None):
    """Answer a request with a JSON document."""
    if request.is_disconnected:
        return
    body = json.dumps(document, ensure_ascii=False).encode()
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    request.setHeader("content-length", str(len(body)))
    for name, value in (headers or {}).items():
        request.setHeader(name, value)
    request.write(body)
    request.finish()


def send_error(request, error):
    """Answer a request with an error."""
    send_json(
        request,
        error.to_document(),
        status=error.status,
        headers=error.headers,
    )


def drop_connection(request):
    """Close the connection of a request without an answer."""
    if request.is_disconnected:
        return
    request.is_disconnected = True
    request.transport.abortConnection()
