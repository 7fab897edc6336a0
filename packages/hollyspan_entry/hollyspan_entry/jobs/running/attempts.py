"""Counts of attempts that outlive the daemon."""

import json

from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError

from ..state import build_attempts_key

__all__ = ["AttemptCounts", "open_attempt_counts"]


class AttemptCounts:
    """Attempts of a chunk's items, as kept in the store.

    Parameters
    ----------
    store : Store
    key : str
    revision : int
        Of the entry in the store.
    holders : int
        Holders of the chunk that have not released it, this one included.
    counts : dict
        Attempts by item, for items noted before they ran.

    Notes
    -----
    A holder that releases its chunk takes itself out of `holders`; one that
    is lost does not. So a chunk is known to be taken over, and any of its
    items may be what ended the holder.
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
        """True when an earlier holder was lost."""
        return self.holders > 1

    async def record_attempts(self, attempts):
        """Note attempts before they begin.

        Parameters
        ----------
        attempts : dict
            Attempts by item, the next one included.

        Raises
        ------
        StoreConflictError
            Another daemon holds the chunk.
        """
        if all(self.counts.get(i) == n for i, n in attempts.items()):
            return
        self.counts.update(attempts)
        await self.save()

    async def release(self, attempts):
        """Take this holder out.

        Parameters
        ----------
        attempts : dict
            Attempts that have failed, by item.
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
        """Remove the counts of a chunk that is closed."""
        try:
            await self.store.delete(self.key, revision=self.revision)
        except StoreConflictError:
            return


def encode_attempt_counts(holders, counts):
    return json.dumps(
        {"holders": holders, "counts": sorted(counts.items())}
    ).encode()


async def open_attempt_counts(store, job, chunk):
    """Read the notes of a chunk and enter this daemon as a holder.

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
