"""Attempt counts of a chunk's items, persisted in the store."""

import json

from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError

from ..state import build_attempts_key

__all__ = ["AttemptCounts", "open_attempt_counts"]


class AttemptCounts:
    """Persistent attempt counts of the items of one chunk.

    Parameters
    ----------
    store : Store
    key : str
    revision : int
        Revision of the entry in the store.
    holders : int
        Number of holders that have not released the chunk, including this one.
    counts : dict
        Number of attempts by item index, for items recorded before they ran.

    Notes
    -----
    A holder that releases its chunk decrements `holders`; a holder that
    fails does not. A count above one therefore shows that the chunk was taken
    over from a failed holder, and that any of its items may have caused the
    failure.
    """

    __slots__ = ("store", "key", "revision", "holders", "counts")

    def __init__(self, *, store, key, revision, holders, counts):
        self.store = store
        self.key = key
        self.revision = revision
        self.holders = holders
        self.counts = counts

    @property
    def is_takeover(self):
        """True when an earlier holder failed without releasing the chunk."""
        return self.holders > 1

    async def record_attempts(self, attempts):
        """Store the attempt counts of items before the attempts start.

        Parameters
        ----------
        attempts : dict
            Number of attempts by item index, including the next one.

        Raises
        ------
        StoreConflictError
            Another daemon has claimed the chunk.
        """
        if all(self.counts.get(i) == n for i, n in attempts.items()):
            return
        self.counts.update(attempts)
        await self.save()

    async def release(self, attempts):
        """Remove this daemon from the holders and store the counts.

        Parameters
        ----------
        attempts : dict
            Number of failed attempts by item index.
        """
        self.holders -= 1
        self.counts = attempts
        await self.save()

    async def save(self):
        content = encode_attempt_counts(self.holders, self.counts)
        entry = await self.store.replace(
            self.key, content, revision=self.revision
        )
        self.revision = entry.revision

    async def remove(self):
        """Delete the entry of a closed chunk."""
        try:
            await self.store.delete(self.key, revision=self.revision)
        except StoreConflictError:
            return


def encode_attempt_counts(holders, counts):
    return json.dumps(
        {"holders": holders, "counts": sorted(counts.items())}
    ).encode()


async def open_attempt_counts(store, job, chunk):
    """Read the attempt counts of a chunk and add this daemon as a holder.

    Parameters
    ----------
    store : Store
    job : str
    chunk : int

    Returns
    -------
    AttemptCounts
    """
    key = build_attempts_key(job, chunk)
    try:
        entry = await store.create(key, encode_attempt_counts(1, {}))
        return AttemptCounts(
            store=store,
            key=key,
            revision=entry.revision,
            holders=1,
            counts={},
        )
    except StoreKeyExistsError as error:
        entry = error.entry
    document = json.loads(entry.content)
    attempt_counts = AttemptCounts(
        store=store,
        key=key,
        revision=entry.revision,
        holders=document["holders"] + 1,
        counts=dict(document["counts"]),
    )
    await attempt_counts.save()
    return attempt_counts
