"""Encoding of peer messages, which are prefixed with a keyed digest."""

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
    "convert_codec_errors",
]

DIGEST_BYTES = 16
LENGTH_BYTES = 4

# The import hook of pycapnp would search all of sys.path.
capnp.remove_import_hook()

PeerMessage = capnp.load(
    str(Path(__file__).with_name("peer.capnp"))
).PeerMessage


def compute_digest(content, *, key, context=b""):
    """Return the keyed digest of a message.

    Parameters
    ----------
    content : bytes
    key : bytes
    context : bytes, optional
        Data that the digest covers in addition to the message.

    Returns
    -------
    bytes
    """
    # The length prefix separates the context from the content.
    head = len(context).to_bytes(LENGTH_BYTES, "big") + context
    return hmac.digest(key, head + content, hashlib.sha256)[:DIGEST_BYTES]


def encode_message(message, *, key, context=b""):
    """Encode a peer message.

    Parameters
    ----------
    message : PeerMessage builder
    key : bytes
        The key that all daemons share.
    context : bytes, optional
        Data that the digest covers in addition to the message.

    Returns
    -------
    bytes
        Digest, followed by the message.
    """
    content = message.to_bytes_packed()
    return compute_digest(content, key=key, context=context) + content


def decode_message(datagram, *, key, context=b""):
    """Verify the digest of a peer message and decode it.

    Parameters
    ----------
    datagram : bytes
        Digest, followed by the message.
    key : bytes
        The key that all daemons share.
    context : bytes, optional
        Data that the digest covers in addition to the message.

    Returns
    -------
    PeerMessage reader

    Raises
    ------
    PeerAuthenticationError
        The digest does not match.
    PeerMessageError
        The content is not a peer message.
    """
    digest = datagram[:DIGEST_BYTES]
    content = datagram[DIGEST_BYTES:]
    expected = compute_digest(content, key=key, context=context)
    if not hmac.compare_digest(digest, expected):
        raise PeerAuthenticationError(
            "digest of a peer message does not match"
        )
    with convert_codec_errors():
        message = PeerMessage.from_bytes_packed(content)
        message.which()
        return message


@contextlib.contextmanager
def convert_codec_errors():
    """Convert errors of the codec to `PeerMessageError`.

    Notes
    -----
    The codec decodes lazily, so each function that accesses the fields of a
    reader needs this context manager.

    Yields
    ------
    None
    """
    try:
        yield
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError("peer message cannot be decoded") from error
