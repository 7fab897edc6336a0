"""Proof of who speaks on a link, frame by frame."""

from hollyspan_core.messages import decode_message
from hollyspan_core.messages import encode_message

__all__ = ["Session"]

COUNTER_BYTES = 8


class Session:
    """Digests of the frames of one link.

    Parameters
    ----------
    key : bytes
        The key that all daemons share.
    is_server : bool
        Which side this is.

    Attributes
    ----------
    context : bytes
        What the digests cover besides the frame: nothing for the greeting of
        the server, its nonce for that of the client, then both nonces.

    Notes
    -----
    Each digest also covers the direction and the number of the frame, so a
    recorded frame proves nothing later, elsewhere or the other way.
    """

    __slots__ = ("key", "is_server", "context", "sent", "received")

    def __init__(self, *, key, is_server):
        self.key = key
        self.is_server = is_server
        self.context = b""
        self.sent = 0
        self.received = 0

    def extend(self, nonce):
        """Bind the digests of later frames to a nonce.

        Parameters
        ----------
        nonce : bytes
        """
        self.context += len(nonce).to_bytes(2, "big") + nonce

    def encode(self, message):
        """Return a message as the next frame."""
        context = self.bind(by_server=self.is_server, number=self.sent)
        self.sent += 1
        return encode_message(message, key=self.key, context=context)

    def decode(self, frame):
        """Return the message of the next frame.

        Parameters
        ----------
        frame : bytes

        Returns
        -------
        PeerMessage reader

        Raises
        ------
        PeerMessageError
            The frame is damaged, foreign or out of order.
        """
        context = self.bind(by_server=not self.is_server, number=self.received)
        self.received += 1
        return decode_message(frame, key=self.key, context=context)

    def bind(self, *, by_server, number):
        direction = b"s" if by_server else b"c"
        return direction + number.to_bytes(COUNTER_BYTES, "big") + self.context
