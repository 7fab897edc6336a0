"""Encoding of peer messages, with a keyed digest in front."""

import hashlib
import hmac
from pathlib import Path

import capnp

from ..errors import PeerAuthenticationError
from ..errors import PeerMessageError

__all__ = ["PeerMessage", "decode_message", "encode_message"]

DIGEST_BYTES = 16

# The import hook of pycapnp would search all of sys.path.
capnp.remove_import_hook()

PeerMessage = capnp.load(
    str(Path(__file__).with_name("peer.capnp"))
).PeerMessage


def compute_digest(content, *, key):
    return hmac.digest(key, content, hashlib.sha256)[:DIGEST_BYTES]


def encode_message(message, *, key):
    """Encode a peer message.

    Parameters
    ----------
    message : PeerMessage builder
        The message.
    key : bytes
        The key that all daemons share.

    Returns
    -------
    bytes
        Digest and message.
    """
    content = message.to_bytes()
    return compute_digest(content, key=key) + content


def decode_message(datagram, *, key):
    """Check the digest of a peer message and decode it.

    Parameters
    ----------
    datagram : bytes
        Digest and message.
    key : bytes
        The key that all daemons share.

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
    if not hmac.compare_digest(digest, compute_digest(content, key=key)):
        raise PeerAuthenticationError("digest of a peer message does not fit")
    try:
        with PeerMessage.from_bytes(content) as message:
            message.which()
            return message
    except (capnp.KjException, ValueError) as error:
        raise PeerMessageError("peer message cannot be decoded") from error
