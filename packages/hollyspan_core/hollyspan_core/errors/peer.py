"""Failures between daemons."""

from .base import HollyspanError

__all__ = [
    "PeerAuthenticationError",
    "PeerMessageError",
    "PeerUnavailableError",
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


class PeerUnavailableError(HollyspanError):
    """A peer cannot be reached."""

    status = 503
    kind = "server_error"
    code = "peer_unavailable"
