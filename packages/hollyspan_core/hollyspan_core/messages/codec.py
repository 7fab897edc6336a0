"""Encoding of peer messages, with a keyed digest in front."""

import contextlib
import hashlib
import hmac
from pathlib import Path

import capnp

from ..errors import PeerAuthenticationError
from ..errors import PeerMessageError

__all__ = [
    "PeerMessage",
    "compute_digest",
    "decode_message",
    "encode_message",
    "guard_reading",
]

DIGEST_BYTES = 16
LENGTH_BYTES = 4

# The import hook of pycapnp would search all of sys.path.
capnp.remove_import_hook()

PeerMessage = capnp.load(
    str(Path(__file__).with_name("peer.capnp"))
).PeerMessage


def compute_digest(content, *, key, context=b""):
    """Return the digest that goes in front of a message.

    Parameters
    ----------
    content : bytes
    key : bytes
    context : bytes, optional
        What the digest covers besides the message.

    Returns
    -------
    bytes
    """
    # The length keeps context and content apart.
    head = len(context).to_bytes(LENGTH_BYTES, "big") + context
    return hmac.digest(key, head + content, hashlib.sha256)[:DIGEST_BYTES]


def encode_message(message, *, key, context=b""):
    """Encode a peer message.

    Parameters
    ----------
    message : PeerMessage builder
        The message.
    key : bytes
        The key that all daemons share.
    context : bytes, optional
        What the digest covers besides the message.

    Returns
    -------
    bytes
        Digest and message.
    """
    content = message.to_bytes_packed()
    return compute_digest(content, key=key, context=context) + content


def decode_message(datagram, *, key, context=b""):
    """Check the digest of a peer message and decode it.

    Parameters
    ----------
    datagram : bytes
        Digest and message.
    key : bytes
        The key that all daemons share.
    context : bytes, optional
        What the digest covers besides the message.

    Returns
    -------
    PeerMessage reader

    Raises
    ------
    PeerAuthenticationError
        The digest does not fit.
    PeerMessageError
        The content is no peer message.
    """
    digest = datagram[:DIGEST_BYTES]
    content = datagram[DIGEST_BYTES:]
    expected = compute_digest(content, key=key, context=context)
    if not hmac.compare_digest(digest, expected):
        raise PeerAuthenticationError("digest of a peer message does not fit")
    with guard_reading():
        message = PeerMessage.from_bytes_packed(content)
        message.which()
        return message


@contextlib.contextmanager
def guard_reading():
    """Turn the codec's failures into PeerMessageError.

    Notes
    -----
    The codec reads lazily, so each function that takes a reader apart needs
    this guard.

    Yields
    ------
    None
    """
    try:
        yield
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError("peer message cannot be decoded") from error
