"""Reads and certain writes on the platform's store."""

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError

from ..clock import wait

__all__ = ["Store"]

# Tries of a write: with the time-out of a call they stay within the 4 s that
# the platform allows for an acknowledgement.
WRITE_TRIES = 4
# Seconds between two tries, many times the store's usual answer of 4 ms.
RETRY_PAUSE_S = 0.15


class Store:
    """Operations on the store whose outcome is certain.

    Parameters
    ----------
    wire : object
        Speaks the store's format: coroutine functions `read`, `read_page`,
        `watch` and `commit`.
    reactor : twisted reactor
    create_token : callable
        Returns 16 new random bytes.
    """

    __slots__ = ("wire", "reactor", "create_token")

    def __init__(self, *, wire, reactor, create_token):
        self.wire = wire
        self.reactor = reactor
        self.create_token = create_token

    async def get(self, key):
        """Return the Entry of a key, or None.

        Raises
        ------
        StoreUnavailableError
        """
        return await self.wire.read(key)

    async def list(self, prefix):
        """Return all entries below a prefix as they stood at one revision.

        Parameters
        ----------
        prefix : str

        Returns
        -------
        Page
            With the revision of the first page; entries that were created
            later are left out, since pages are read one after the other.

        Raises
        ------
        StoreUnavailableError
        """
        page = await self.wire.read_page(prefix, after=None)
        entries = page.entries
        revision = page.revision
        while page.more:
            page = await self.wire.read_page(
                prefix, after=page.entries[-1].key
            )
            entries += [
                entry for entry in page.entries if entry.created <= revision
            ]
        page.entries = entries
        page.revision = revision
        return page

    async def watch(self, prefix, *, after, seconds):
        """Wait for changes below a prefix.

        Parameters
        ----------
        prefix : str
        after : int
            Revision after which changes are wanted.
        seconds : float
            Longest wait.

        Returns
        -------
        Page
            Changed entries in order; those that were removed have the
            revision 0. Empty when the wait ended without a change.

        Raises
        ------
        StoreHistoryLostError
            The store no longer holds the changes after the revision.
        StoreUnavailableError
        """
        return await self.wire.watch(prefix, after=after, seconds=seconds)

    async def create(self, contents):
        """Create keys that are all absent, or none of them.

        Parameters
        ----------
        contents : dict
            Bytes by key.

        Returns
        -------
        int
            Revision of the change, 0 when an earlier copy of the write, whose
            answer was lost, has made it.

        Raises
        ------
        StoreKeyExistsError
            Another writer created one; `entry` holds what the first key has.
        StoreReplyLostError
            The write may have taken effect, or may yet.
        StoreUnavailableError
            The write was not made, outcome ``not_run``.
        """
        token = self.create_token()
        values = {key: token + content for key, content in contents.items()}
        expected = dict.fromkeys(values, 0)
        commit = await self.write(expected, values)
        if commit.succeeded:
            return commit.revision
        for key in values:
            entry = commit.found.get(key)
            if entry is not None and entry.token == token:
                return 0
        first = next(iter(values))
        raise StoreKeyExistsError(
            f"key {first} exists", entry=commit.found.get(first)
        )

    async def put(self, key, content):
        """Write a key whatever it holds.

        Parameters
        ----------
        key : str
        content : bytes

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({}, {key: self.create_token() + content})

    async def put_plain(self, key, content, *, only_new):
        """Write a key whose readers expect no token in front.

        Parameters
        ----------
        key : str
        content : bytes
        only_new : bool
            Leave a key that exists as it is.

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({key: 0} if only_new else {}, {key: content})

    async def remove(self, keys):
        """Remove keys; absent ones are no failure.

        Parameters
        ----------
        keys : list of str

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({}, {}, removed=keys)

    async def write(self, expected, values, *, removed=()):
        """Send a conditional write until its answer is certain."""
        is_ambiguous = False
        for attempt in range(WRITE_TRIES):
            if attempt:
                await wait(self.reactor, RETRY_PAUSE_S * attempt)
            try:
                return await self.wire.commit(
                    expected=expected, values=values, removed=removed
                )
            except StoreReplyLostError:
                is_ambiguous = True
            except StoreUnavailableError as failure:
                last = failure
        if is_ambiguous:
            raise StoreReplyLostError("no certain answer to a write")
        raise last
