"""Errors of the communication between daemons."""

from .base import HollyspanError
from .base import Outcome

__all__ = [
    "PeerAnswerError",
    "PeerAuthenticationError",
    "PeerMessageError",
    "PeerUnavailableError",
    "PeerUnknownError",
]


class PeerMessageError(HollyspanError):
    """A message from a peer cannot be decoded."""

    status = 502
    kind = "server_error"
    code = "peer_message_invalid"


class PeerAuthenticationError(PeerMessageError):
    """A message from a peer has a wrong digest."""

    status = 401
    kind = "authentication_error"
    code = "peer_digest_invalid"


class PeerUnknownError(HollyspanError):
    """A request is forwarded by somebody who is no known gateway."""

    status = 403
    kind = "authentication_error"
    code = "peer_unknown"
    default_outcome = Outcome.NOT_RUN


class PeerUnavailableError(HollyspanError):
    """A peer cannot be reached."""

    status = 503
    kind = "server_error"
    code = "peer_unavailable"


class PeerAnswerError(HollyspanError):
    """A peer answered a call with an error.

    Parameters
    ----------
    content : dict
        Error object of the answer.
    status : int
        HTTP status of the response to the caller.
    """

    def __init__(self, *, content, status):
        super().__init__(
            str(content.get("message", "a peer failed")),
            outcome=find_outcome(content.get("outcome")),
            param=content.get("param"),
            retry_after=content.get("retry_after"),
        )
        self.status = status
        self.kind = str(content.get("type", "server_error"))
        self.code = str(content.get("code", "peer_failed"))


def find_outcome(value):
    """Return the outcome that a peer reported, unknown if it is invalid."""
    if value == Outcome.NOT_RUN.value:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
