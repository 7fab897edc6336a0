"""Encoding of keys and values for the store's JSON interface."""

import base64

from hollyspan_core.store import Entry
from hollyspan_core.store import TOKEN_BYTES

__all__ = [
    "decode_entry",
    "encode_bytes",
    "encode_key",
    "compute_range_end",
]


def encode_bytes(content):
    """Return bytes as base64 text."""
    return base64.b64encode(content).decode()


def encode_key(key):
    """Return a key as base64 text."""
    return encode_bytes(key.encode())


def compute_range_end(prefix):
    """Return the first key after all keys with a prefix."""
    content = prefix.encode()
    return content[:-1] + bytes([content[-1] + 1])


def decode_entry(pair):
    """Decode a key-value pair from an answer of the store.

    Parameters
    ----------
    pair : dict
        Decoded JSON.

    Returns
    -------
    Entry
    """
    value = base64.b64decode(pair.get("value", ""))
    return Entry(
        key=base64.b64decode(pair["key"]).decode(),
        content=value[TOKEN_BYTES:],
        token=value[:TOKEN_BYTES],
        revision=int(pair.get("mod_revision", 0)),
        lease=int(pair.get("lease", 0)),
    )
