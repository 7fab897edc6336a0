"""Copies of the store's entries that gateways give each other."""

import base64
import json

import eliot

from hollyspan_core.errors import PeerMessageError
from hollyspan_core.store import Entry
from hollyspan_core.store import Page

from .calls import call_peer

__all__ = ["PATH", "encode_copy", "fetch_copy"]

PATH = b"/copies/"
# Seconds for one answer: several round trips between regions.
TIMEOUT_S = 0.5


def encode_copy(mirror):
    """Encode a mirror's entries for a peer.

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
            "created": entry.created,
        }
        for entry in mirror.entries.values()
    ]
    document = {"revision": mirror.revision, "entries": rows}
    return json.dumps(document).encode()


def decode_copy(content):
    """Decode a peer's copy.

    Raises
    ------
    PeerMessageError
        The bytes are no copy.
    """
    try:
        document = json.loads(content)
        entries = [
            Entry(
                key=row["key"],
                content=base64.b64decode(row["content"]),
                token=b"",
                revision=row["revision"],
                lease=0,
                created=row["created"],
            )
            for row in document["entries"]
        ]
        return Page(entries=entries, more=False, revision=document["revision"])
    except (ValueError, KeyError, TypeError) as fault:
        raise PeerMessageError(f"no copy: {fault!r}") from fault


async def fetch_copy(pool, peer, *, port, name):
    """Ask a peer for its copy of the entries below a prefix.

    Parameters
    ----------
    pool : ConnectionPool
    peer : Peer
    port : int
        Where gateways answer each other.
    name : str
        Name of the mirror.

    Returns
    -------
    Page or None
        None when the peer does not answer.
    """
    answer = await call_peer(
        pool, peer, port=port, target=PATH + name.encode(), seconds=TIMEOUT_S
    )
    if answer is None:
        return None
    try:
        return decode_copy(answer[1])
    except PeerMessageError as failure:
        eliot.log_message(
            "peer:no_copy",
            peer=peer.identifier,
            name=name,
            reason=failure.message,
        )
        return None
