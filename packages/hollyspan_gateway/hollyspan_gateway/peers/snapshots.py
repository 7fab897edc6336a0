"""Snapshots of the store's entries, exchanged between gateways."""

import base64
import json
import math

import eliot

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.store import Entry
from hollyspan_core.store import Page

from ..http1 import count_values
from ..http1 import MAX_DOCUMENT_VALUES
from ..http1 import SNAPSHOT
from .calls import call_peer

__all__ = ["SNAPSHOTS_PATH", "encode_snapshot", "fetch_snapshot"]

SNAPSHOTS_PATH = b"/copies/"
# Several round trips between regions.
SNAPSHOT_TIMEOUT_S = 0.5


def encode_snapshot(mirror):
    """Encode the entries of a mirror as a snapshot.

    Parameters
    ----------
    mirror : Mirror

    Returns
    -------
    bytes
    """
    rows = [
        {
            "key": entry.key,
            "content": base64.b64encode(entry.content).decode(),
            "revision": entry.revision,
            "created": entry.created_revision,
        }
        for entry in mirror.entries.values()
    ]
    document = {
        "revision": mirror.revision,
        "changed": mirror.changed_revision,
        "connected_seconds": mirror.measure_connected_seconds(),
        "confirmed_age": mirror.measure_confirmed_age(),
        "entries": rows,
    }
    return json.dumps(document).encode()


def decode_snapshot(content):
    """Decode a snapshot from a peer.

    Returns
    -------
    (Page, float or None)
        The entries, and for how long the peer has reached the store.

    Raises
    ------
    PeerMessageError
        The bytes are not a valid snapshot.
    """
    if count_values(content) > MAX_DOCUMENT_VALUES:
        raise PeerMessageError("a snapshot has too many values")
    try:
        document = parse_document(content)
        entries = [
            Entry(
                key=row["key"],
                content=base64.b64decode(row["content"]),
                token=b"",
                revision=row["revision"],
                lease=0,
                created_revision=row["created"],
            )
            for row in document["entries"]
        ]
        page = Page(
            entries=entries,
            has_more=False,
            revision=int(document["revision"]),
            changed_revision=int(document.get("changed", 0)),
            confirmed_age=decode_age(document.get("confirmed_age")),
        )
        seconds = document.get("connected_seconds")
        return page, None if seconds is None else float(seconds)
    except (
        ArithmeticError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise PeerMessageError(f"malformed snapshot: {error!r}") from error


def decode_age(value):
    """Return an age in seconds, None if it is missing or no age."""
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        return None
    return float(value)


async def fetch_snapshot(pool, peer, *, port, name):
    """Fetch a peer's snapshot of the entries of a mirror.

    Parameters
    ----------
    pool : ConnectionPool
    peer : Peer
    port : int
        Port on which gateways serve each other.
    name : str
        Name of the mirror.

    Returns
    -------
    (Page, float or None) or None
        The entries, and for how long the peer has reached the store; None
        when the peer does not reply or its snapshot is malformed.
    """
    answer = await call_peer(
        pool,
        peer,
        port=port,
        target=SNAPSHOTS_PATH + name.encode(),
        timeout_seconds=SNAPSHOT_TIMEOUT_S,
        kind=SNAPSHOT,
    )
    if answer is None:
        return None
    try:
        return decode_snapshot(answer[1])
    except PeerMessageError as error:
        eliot.log_message(
            "peer:no_copy",
            peer=peer.identifier,
            name=name,
            reason=error.message,
        )
        return None
