"""Authentication of the frames of a link."""

from hollyspan_core.messages import decode_message
from hollyspan_core.messages import encode_message

__all__ = ["Session"]

COUNTER_BYTES = 8


class Session:
    """Computes and checks the digests of the frames of one link.

    Parameters
    ----------
    key : bytes
        Key shared by all daemons.
    is_server : bool
        True on the side that accepted the connection.

    Attributes
    ----------
    context : bytes
        Data covered by the digests besides the frame: empty for the first
        hello of the server, its nonce for the hello of the client, then both
        nonces.

    Notes
    -----
    Each digest also covers the direction and the number of the frame, so a
    recorded frame can't be replayed later, on another link or in the other
    direction.
    """

    __slots__ = ("key", "is_server", "context", "sent", "received")

    def __init__(self, *, key, is_server):
        self.key = key
        self.is_server = is_server
        self.context = b""
        self.sent = 0
        self.received = 0

    def extend(self, nonce):
        """Include a nonce in the digests of later frames.

        Parameters
        ----------
        nonce : bytes
        """
        self.context += len(nonce).to_bytes(2, "big") + nonce

    def encode(self, message):
        """Encode a message as the next frame."""
        context = self.build_context(
            by_server=self.is_server, number=self.sent
        )
        self.sent += 1
        return encode_message(message, key=self.key, context=context)

    def decode(self, frame):
        """Decode and verify the next frame.

        Parameters
        ----------
        frame : bytes

        Returns
        -------
        PeerMessage reader

        Raises
        ------
        PeerMessageError
            The frame is damaged, has a wrong digest or is out of order.
        """
        context = self.build_context(
            by_server=not self.is_server, number=self.received
        )
        self.received += 1
        return decode_message(frame, key=self.key, context=context)

    def build_context(self, *, by_server, number):
        direction = b"s" if by_server else b"c"
        return direction + number.to_bytes(COUNTER_BYTES, "big") + self.context
