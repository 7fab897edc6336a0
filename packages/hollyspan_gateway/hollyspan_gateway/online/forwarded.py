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
    "INTERNAL_PREFIX",
    "ForwardedOptions",
    "KEY_HEADER",
    "LEAVING_HEADER",
    "RAN_AT_HEADER",
    "VERSION_HEADER",
    "build_target",
    "decode_failure",
    "encode_failure",
    "encode_keys",
    "parse_key",
    "parse_keys",
    "parse_target",
    "set_upstream_headers",
]

# Path prefix of the requests; the options and the client's target follow.
FORWARDED_PATH = b"/requests/"
# Of the names of headers between gateways; later builds may have more.
INTERNAL_PREFIX = b"hollyspan-"
# Headers of the answers: at how many upstreams the request may have run, which
# software version writes the stream, which upstream's incarnation has
# announced its shutdown, and that the gateway has failed, not the upstream.
ATTEMPTS_HEADER = b"hollyspan-attempts"
VERSION_HEADER = b"hollyspan-version"
# Header of requests and answers: keys of the upstreams at which the request
# may have run. Its sender understands it, so that the answer may have it.
RAN_AT_HEADER = b"hollyspan-ran-at"
# Keys in it: attempts of any sensible route, in a few hundred bytes.
MAX_KEYS = 8
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
    ran_at : collection of int or None, optional
        Keys of the upstreams at which the request may have run; None for a
        gateway that tells none and understands none.
    """

    __slots__ = ("version", "attempts", "key_digest", "ran_at")

    def __init__(self, *, version, attempts, key_digest=None, ran_at=None):
        self.version = version
        self.attempts = attempts
        self.key_digest = key_digest
        self.ran_at = ran_at


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


def encode_keys(keys):
    """Return the value of a header with keys, the latest ones of many.

    Examples
    --------
    >>> encode_keys([255, 16])
    b'ff,10'
    >>> encode_keys([])
    b'0'
    """
    return b",".join(b"%x" % key for key in list(keys)[-MAX_KEYS:]) or b"0"


def parse_keys(value):
    """Return the keys in a header, None without one.

    Raises
    ------
    PeerMessageError
        They are malformed or too many.

    Examples
    --------
    >>> parse_keys(b"ff,10")
    [255, 16]
    >>> parse_keys(b"0")
    []
    """
    if value is None:
        return None
    texts = value.split(b",", MAX_KEYS)
    if len(texts) > MAX_KEYS:
        raise PeerMessageError(f"more than {MAX_KEYS} keys")
    return [key for key in map(parse_key, texts) if key]


def encode_failure(error, *, attempts=0, ran_at=()):
    """Return status, headers and body of a failure of this gateway.

    Parameters
    ----------
    error : HollyspanError
    attempts : int, optional
        Number of upstreams at which the request may have run.
    ran_at : collection of int, optional
        Keys of these.
    """
    document = {
        "message": error.message,
        "type": error.kind,
        "code": error.code,
        "outcome": error.outcome.value,
        "retry_after": error.retry_after,
        "attempts": attempts,
        # Older builds pass over it.
        "ran_at": encode_keys(ran_at).decode(),
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
    (HollyspanError, int, list of int)
        The failure, the number of upstreams at which the request may have
        run, and keys of these as far as they are told.
    """
    try:
        content = parse_document(body)
        return (
            PeerAnswerError(content=content, status=status),
            int(content["attempts"]),
            parse_keys(content.get("ran_at", "0").encode()),
        )
    except PeerMessageError as error:
        return error, 1, []
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        malformed = PeerMessageError(f"malformed failure of a peer: {error!r}")
        return malformed, 1, []


def set_upstream_headers(
    request, upstream, reply, *, attempts, ran_at, version
):
    """Tell the gateway that forwards a request where it runs.

    Parameters
    ----------
    request : ClientRequest
        Forwarded request, before the head of its answer is sent.
    upstream : Upstream
    reply : UpstreamReply
    attempts : int
        Number of upstreams at which it may have run.
    ran_at : collection of int or None
        Keys of these; None for a gateway that would pass on what it does not
        know.
    version : int
        Key of the version that writes the answer.
    """
    if ran_at is not None:
        request.setHeader(ATTEMPTS_HEADER, b"%x" % attempts)
        request.setHeader(RAN_AT_HEADER, encode_keys(ran_at))
    request.setHeader(VERSION_HEADER, b"%x" % version)
    if reply.is_leaving:
        request.setHeader(
            LEAVING_HEADER, b"%x" % upstream.entry.incarnation_key
        )
