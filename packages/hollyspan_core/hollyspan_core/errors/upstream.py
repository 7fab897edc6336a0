"""Errors of upstreams."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "AnswerForeignError",
    "AnswerMisplacedError",
    "StreamCancelledError",
    "StreamLostError",
    "StreamMalformedError",
    "StreamStalledError",
    "UpstreamAnswerError",
    "UpstreamConnectionRefusedError",
    "UpstreamLeavingError",
    "UpstreamReplacedError",
    "UpstreamUnavailableError",
    "UpstreamUnreachableError",
]


class UpstreamUnavailableError(HollyspanError):
    """The upstream does not accept work at present."""

    status = 503
    kind = "server_error"
    code = "upstream_unavailable"


class UpstreamUnreachableError(UpstreamUnavailableError):
    """No connection to the upstream could be opened; nothing was sent."""

    status = 503
    kind = "server_error"
    code = "upstream_unreachable"
    default_outcome = Outcome.NOT_RUN


class UpstreamConnectionRefusedError(UpstreamUnreachableError):
    """Nothing listens at the upstream's address."""

    status = 503
    kind = "server_error"
    code = "upstream_unreachable"
    default_outcome = Outcome.NOT_RUN


class UpstreamLeavingError(UpstreamUnavailableError):
    """The upstream is leaving and accepts no new work."""

    status = 503
    kind = "server_error"
    code = "upstream_leaving"
    default_outcome = Outcome.NOT_RUN


class UpstreamReplacedError(HollyspanError):
    """Another process may have taken the place of the upstream's."""

    status = 502
    kind = "server_error"
    code = "upstream_replaced"


class StreamLostError(HollyspanError):
    """A stream was interrupted and cannot be resumed."""

    status = 502
    kind = "server_error"
    code = "stream_lost"


class StreamStalledError(StreamLostError):
    """A stream was aborted because no event arrived within the timeout."""

    status = 502
    kind = "server_error"
    code = "stream_stalled"


class StreamCancelledError(HollyspanError):
    """A stream was interrupted and cancelled; the engine can resume it.

    Parameters
    ----------
    message : str
    is_cancelled_elsewhere : bool, optional
        True if the engine ended the stream because another daemon had
        cancelled it.
    """

    status = 502
    kind = "server_error"
    code = "stream_cancelled"

    def __init__(self, message, *, is_cancelled_elsewhere=False, **details):
        super().__init__(message, **details)
        self.is_cancelled_elsewhere = is_cancelled_elsewhere


class StreamMalformedError(HollyspanError):
    """The bytes of a stream are not a valid event stream."""

    status = 502
    kind = "server_error"
    code = "stream_malformed"


class AnswerMisplacedError(StreamMalformedError):
    """An answer came that belongs to another request."""

    status = 502
    kind = "server_error"
    code = "answer_misplaced"


class AnswerForeignError(StreamMalformedError):
    """An answer came that the upstream itself has not given."""

    status = 502
    kind = "server_error"
    code = "answer_foreign"


class UpstreamAnswerError(HollyspanError):
    """The upstream answered with an error.

    Parameters
    ----------
    message : str
    upstream_status : int, optional
        HTTP status of the answer; 200 for an error within a stream.
    body : bytes, optional
        Body of the answer, or data of the error event.
    """

    status = 502
    kind = "server_error"
    code = "upstream_error"

    def __init__(self, message, *, upstream_status=None, body=b"", **details):
        super().__init__(message, **details)
        self.upstream_status = upstream_status
        self.body = body
