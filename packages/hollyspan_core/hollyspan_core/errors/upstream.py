"""Failures of upstreams."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "StreamLostError",
    "UpstreamAnswerError",
    "UpstreamLeavingError",
    "UpstreamUnavailableError",
]


class UpstreamUnavailableError(HollyspanError):
    """No connection to the upstream could be made."""

    status = 503
    kind = "server_error"
    code = "upstream_unavailable"


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


class UpstreamAnswerError(HollyspanError):
    """The upstream answered with an error."""

    status = 502
    kind = "server_error"
    code = "upstream_error"
