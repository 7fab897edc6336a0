"""Failures of upstreams."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "StreamCancelledError",
    "StreamLostError",
    "StreamMalformedError",
    "StreamStalledError",
    "UpstreamAnswerError",
    "UpstreamLeavingError",
    "UpstreamUnavailableError",
    "UpstreamUnreachableError",
]


class UpstreamUnavailableError(HollyspanError):
    """The upstream takes no work now."""

    status = 503
    kind = "server_error"
    code = "upstream_unavailable"


class UpstreamUnreachableError(UpstreamUnavailableError):
    """No connection to the upstream could be made; nothing was sent."""

    status = 503
    kind = "server_error"
    code = "upstream_unreachable"
    default_outcome = Outcome.NOT_RUN


class UpstreamLeavingError(UpstreamUnavailableError):
    """The upstream is leaving and takes no new work."""

    status = 503
    kind = "server_error"
    code = "upstream_leaving"
    default_outcome = Outcome.NOT_RUN


class StreamLostError(HollyspanError):
    """A stream broke and cannot be resumed."""

    status = 502
    kind = "server_error"
    code = "stream_lost"


class StreamStalledError(StreamLostError):
    """A stream was silent for too long and was given up."""

    status = 502
    kind = "server_error"
    code = "stream_stalled"


class StreamCancelledError(HollyspanError):
    """A stream broke and was cancelled; the engine can resume it.

    Parameters
    ----------
    message : str
    is_foreign : bool, optional
        True when the engine had ended it, since another daemon cancelled it.
    """

    status = 502
    kind = "server_error"
    code = "stream_cancelled"

    def __init__(self, message, *, is_foreign=False, **details):
        super().__init__(message, **details)
        self.is_foreign = is_foreign


class StreamMalformedError(HollyspanError):
    """The bytes of a stream are no valid event stream."""

    status = 502
    kind = "server_error"
    code = "stream_malformed"


class UpstreamAnswerError(HollyspanError):
    """The upstream answered with an error.

    Parameters
    ----------
    message : str
    upstream_status : int, optional
        HTTP status of the answer; 200 for an error in mid-stream.
    body : bytes, optional
        Body of the answer or the error event's data.
    """

    status = 502
    kind = "server_error"
    code = "upstream_error"

    def __init__(self, message, *, upstream_status=None, body=b"", **details):
        super().__init__(message, **details)
        self.upstream_status = upstream_status
        self.body = body
