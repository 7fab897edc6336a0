"""Format of the requests that one gateway forwards to another."""

import json

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import PeerAnswerError
from hollyspan_core.errors import PeerMessageError

__all__ = [
    "ATTEMPTS_HEADER",
    "FAILURE_HEADER",
    "FORWARDED_PATH",
    "ForwardedOptions",
    "KEY_HEADER",
    "LEAVING_HEADER",
    "VERSION_HEADER",
    "build_target",
    "decode_failure",
    "encode_failure",
    "parse_key",
    "parse_target",
    "set_upstream_headers",
]

# Path prefix of the requests; the options and the client's target follow.
FORWARDED_PATH = b"/requests/"
# Headers of the answers: at how many upstreams the request may have run, which
# software version writes the stream, which upstream's incarnation has
# announced its shutdown, and that the gateway has failed, not the upstream.
ATTEMPTS_HEADER = b"hollyspan-attempts"
VERSION_HEADER = b"hollyspan-version"
# Header of the requests: digest of the caller's key.
KEY_HEADER = b"hollyspan-key"
LEAVING_HEADER = b"hollyspan-leaving"
FAILURE_HEADER = b"hollyspan-failure"


class ForwardedOptions:
    """What a gateway tells of a request that it forwards.

    Parameters
    ----------
    version : int or None
        Key of the software version at which the stream has to go on; None
        while it has no event.
    attempts : int
        Number of upstreams at which the request may still run.
    key_digest : str or None, optional
        Digest of the caller's key.
    """

    __slots__ = ("version", "attempts", "key_digest")

    def __init__(self, *, version, attempts, key_digest=None):
        self.version = version
        self.attempts = attempts
        self.key_digest = key_digest


def build_target(options, target):
    """Return the path of a forwarded request.

    Parameters
    ----------
    options : ForwardedOptions
    target : bytes
        Path and query of the client's request.

    Returns
    -------
    bytes

    Examples
    --------
    >>> build_target(ForwardedOptions(version=None, attempts=2), b"/s/x")
    b'/requests/0/2/s/x'
    """
    return FORWARDED_PATH + b"%x/%d%s" % (
        options.version or 0,
        options.attempts,
        target,
    )


def parse_target(uri):
    """Return the options and the client's target of a forwarded request.

    Parameters
    ----------
    uri : bytes

    Returns
    -------
    (ForwardedOptions, bytes)

    Raises
    ------
    InvalidRequestError
        The path is malformed.

    Examples
    --------
    >>> options, target = parse_target(b"/requests/ff/2/s/x?y=1")
    >>> options.version, options.attempts, target
    (255, 2, b'/s/x?y=1')
    """
    parts = uri.removeprefix(FORWARDED_PATH).split(b"/", 2)
    try:
        version, attempts, path = parts
        options = ForwardedOptions(
            version=int(version, 16) or None, attempts=int(attempts)
        )
    except ValueError as error:
        raise InvalidRequestError(
            f"malformed path of a forwarded request: {uri!r}"
        ) from error
    if options.attempts < 1:
        raise InvalidRequestError("a forwarded request without attempts")
    return options, b"/" + path


def parse_key(value):
    """Return the key in a header of a forwarded answer, None without one.

    Raises
    ------
    PeerMessageError
        It is no hexadecimal number.
    """
    if value is None:
        return None
    try:
        return int(value, 16)
    except ValueError as error:
        raise PeerMessageError(f"{value[:32]!r} is no key") from error


def encode_failure(error, *, attempts=0):
    """Return status, headers and body of a failure of this gateway.

    Parameters
    ----------
    error : HollyspanError
    attempts : int, optional
        Number of upstreams at which the request may have run.
    """
    document = {
        "message": error.message,
        "type": error.kind,
        "code": error.code,
        "outcome": error.outcome.value,
        "retry_after": error.retry_after,
        "attempts": attempts,
    }
    return (
        error.status,
        [(FAILURE_HEADER, b"1")],
        json.dumps(document).encode(),
    )


def decode_failure(status, body):
    """Return the failure of another gateway.

    Parameters
    ----------
    status : int
    body : bytes

    Returns
    -------
    (HollyspanError, int)
        The failure, and the number of upstreams at which the request may
        have run.
    """
    try:
        content = parse_document(body)
        return (
            PeerAnswerError(content=content, status=status),
            int(content["attempts"]),
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        malformed = PeerMessageError(f"malformed failure of a peer: {error!r}")
        return malformed, 1


def set_upstream_headers(request, upstream, reply, *, attempts, version):
    """Tell the gateway that forwards a request where it runs.

    Parameters
    ----------
    request : ClientRequest
        Forwarded request, before the head of its answer is sent.
    upstream : Upstream
    reply : UpstreamReply
    attempts : int
        Number of upstreams at which it may have run.
    version : int
        Key of the version that writes the answer.
    """
    request.setHeader(ATTEMPTS_HEADER, b"%x" % attempts)
    request.setHeader(VERSION_HEADER, b"%x" % version)
    if reply.is_leaving:
        request.setHeader(
            LEAVING_HEADER, b"%x" % upstream.entry.incarnation_key
        )
