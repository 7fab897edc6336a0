"""Conditional writes that are retried until their outcome is certain."""

from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import StoreValueTooLargeError
from hollyspan_core.store import Entry
from hollyspan_core.store import TOKEN_BYTES

from .codec import decode_entry
from .codec import encode_bytes
from .codec import encode_key

__all__ = ["delete_key", "put_value", "read_failure", "send_write"]

MAX_VALUE_BYTES = 1_000_000
MAX_WRITE_ATTEMPTS = 4


async def put_value(
    transport, *, key, content, token, lease, compare, failure
):
    """Put a value if a comparison holds.

    Parameters
    ----------
    transport : Transport
    key : str
    content : bytes
    token : bytes
        16 bytes that identify this write.
    lease : int
        Lease to bind the key to, 0 for none.
    compare : dict
        Target and expected value of the comparison.
    failure : type
        Subclass of StoreConflictError to raise if the comparison fails.

    Returns
    -------
    Entry
    """
    if len(content) + TOKEN_BYTES > MAX_VALUE_BYTES:
        raise StoreValueTooLargeError(f"{len(content)} bytes for key {key}")
    encoded = encode_key(key)
    put = {"key": encoded, "value": encode_bytes(token + content)}
    if lease:
        put["lease"] = str(lease)
    body = {
        "compare": [{"key": encoded, "result": "EQUAL", **compare}],
        "success": [{"request_put": put}],
        "failure": [{"request_range": {"key": encoded}}],
    }
    answer, ambiguous = await send_write(transport, body)
    if answer.get("succeeded"):
        return Entry(
            key=key,
            content=content,
            token=token,
            revision=int(answer["header"]["revision"]),
            lease=lease,
        )
    found = read_failure(answer)
    # An earlier attempt of this write took effect and its reply was lost.
    if found is not None and found.token == token:
        return found
    raise failure(
        f"key {key} was changed by another writer",
        entry=found,
        ambiguous=ambiguous,
    )


async def delete_key(transport, *, key, revision):
    """Delete a key if it has not changed; ignore an absent key.

    Parameters
    ----------
    transport : Transport
    key : str
    revision : int
        Revision of the entry that was read.

    Raises
    ------
    StoreConflictError
        The key has changed; `entry` holds the current entry.
    """
    encoded = encode_key(key)
    body = {
        "compare": [
            {
                "key": encoded,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
        ],
        "success": [{"request_delete_range": {"key": encoded}}],
        "failure": [{"request_range": {"key": encoded}}],
    }
    answer, ambiguous = await send_write(transport, body)
    found = None if answer.get("succeeded") else read_failure(answer)
    if found is not None:
        raise StoreConflictError(
            f"key {key} was changed by another writer",
            entry=found,
            ambiguous=ambiguous,
        )


async def send_write(transport, body):
    """Send a transaction repeatedly until its outcome is certain.

    Parameters
    ----------
    transport : Transport
    body : dict

    Returns
    -------
    tuple of (dict, bool)
        The answer, and whether the outcome of an earlier attempt is unknown.
    """
    ambiguous = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            return await transport.call("kv/txn", body), ambiguous
        except StoreReplyLostError:
            ambiguous = True
        except StoreUnavailableError:
            if not ambiguous:
                raise
    raise StoreReplyLostError("no certain answer to a write")


def read_failure(answer):
    """Return the current entry after a failed comparison, or None.

    Parameters
    ----------
    answer : dict

    Returns
    -------
    Entry or None
    """
    ranges = answer["responses"][0]["response_range"]
    pairs = ranges.get("kvs", [])
    return decode_entry(pairs[0]) if pairs else None
