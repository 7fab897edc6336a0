"""Messages between daemons: schema, encoding and digest."""

from .codec import decode_message
from .codec import encode_message
from .codec import PeerMessage

__all__ = ["PeerMessage", "decode_message", "encode_message"]
