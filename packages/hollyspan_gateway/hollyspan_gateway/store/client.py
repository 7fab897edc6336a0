"""Client for reads and for writes with a known outcome."""

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError

from ..clock import wait

__all__ = ["Store"]

# With the timeout of a call, this many attempts stay within the 4 s that the
# platform allows for an acknowledgement.
MAX_WRITE_ATTEMPTS = 4
# Multiplied by the number of attempts made; many times the store's usual
# latency of 4 ms.
RETRY_DELAY_S = 0.15


class Store:
    """Operations on the store.

    Writes are conditional where necessary and carry a token, so that a write
    whose reply was lost can be repeated and its outcome determined.

    Parameters
    ----------
    wire : object
        Client of the store's wire format with the coroutine functions `read`,
        `read_page`, `watch` and `commit`.
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
        """Return the Entry of a key, None if the key does not exist.

        Raises
        ------
        StoreUnavailableError
        """
        return await self.wire.read(key)

    async def list(
        self, prefix, *, may_be_stale=False, reduce=lambda entry: entry
    ):
        """Return all entries below a prefix as of one revision.

        Parameters
        ----------
        prefix : str
        may_be_stale : bool, optional
            Accept an answer that is seconds old, which costs the store less.
        reduce : callable, optional
            Called with each Entry, returns what is kept of it while the
            other pages are read.

        Returns
        -------
        Page
            With the revision of the first page. Entries created after that
            revision, before the later pages were read, are left out.

        Raises
        ------
        StoreUnavailableError
        """
        page = await self.wire.read_page(
            prefix, after=None, may_be_stale=may_be_stale
        )
        entries = [reduce(entry) for entry in page.entries]
        revision = page.revision
        while page.has_more:
            page = await self.wire.read_page(
                prefix,
                after=page.entries[-1].key,
                may_be_stale=may_be_stale,
            )
            entries += [
                reduce(entry)
                for entry in page.entries
                if entry.created_revision <= revision
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
            Only changes after this revision are returned.
        seconds : float
            Longest wait.

        Returns
        -------
        Page
            Changed entries in order of their changes; removed ones have the
            revision 0. Empty when the wait ended without a change.

        Raises
        ------
        StoreHistoryLostError
            The store no longer holds the changes after the revision.
        StoreUnavailableError
        """
        return await self.wire.watch(prefix, after=after, seconds=seconds)

    async def create(self, contents):
        """Create keys atomically, provided that none of them exists.

        Parameters
        ----------
        contents : dict
            Bytes by key.

        Returns
        -------
        int
            Revision of the change; 0 when an earlier attempt, whose reply was
            lost, has made it.

        Raises
        ------
        StoreKeyExistsError
            Another writer created one of the keys; `entry` is the Entry of
            the first key, if it exists.
        StoreReplyLostError
            The write may have taken effect or may still do so.
        StoreUnavailableError
            The write was not made, outcome ``not_run``.
        """
        commit = await self.change(contents, dict.fromkeys(contents, 0))
        if commit.succeeded:
            return commit.revision
        first = next(iter(contents))
        raise StoreKeyExistsError(
            f"key {first} exists", entry=commit.found.get(first)
        )

    async def change(self, contents, expected):
        """Write keys atomically if the expected revisions hold.

        Parameters
        ----------
        contents : dict
            Bytes by key.
        expected : dict
            Revision by key, 0 for a key that must not exist. At least one key
            of `contents` must be among them.

        Returns
        -------
        Commit
            When an earlier attempt, whose reply was lost, has made the write,
            its revision is 0 and `found` holds the entries.

        Raises
        ------
        StoreReplyLostError
            The write may have taken effect or may still do so.
        StoreUnavailableError
            The write was not made, outcome ``not_run``.
        """
        token = self.create_token()
        values = {key: token + content for key, content in contents.items()}
        commit = await self.write(expected, values)
        if not commit.succeeded:
            commit.succeeded = any(
                key in contents and entry.token == token
                for key, entry in commit.found.items()
            )
        return commit

    async def put(self, key, content):
        """Write a key unconditionally.

        Parameters
        ----------
        key : str
        content : bytes

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({}, {key: self.create_token() + content})

    async def put_without_token(self, key, content, *, if_absent):
        """Write a key without a token, for readers that expect none.

        Parameters
        ----------
        key : str
        content : bytes
        if_absent : bool
            Do not overwrite an existing key.

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({key: 0} if if_absent else {}, {key: content})

    async def remove(self, keys):
        """Remove keys, ignoring those that do not exist.

        Parameters
        ----------
        keys : list of str

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({}, {}, removed=keys)

    async def remove_unchanged(self, entry):
        """Remove a key unless it was written since it was read.

        Parameters
        ----------
        entry : Entry

        Raises
        ------
        StoreUnavailableError
        """
        await self.write({entry.key: entry.revision}, {}, removed=[entry.key])

    async def write(self, expected, values, *, removed=()):
        """Send a conditional write, retrying until its outcome is known."""
        is_ambiguous = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt:
                await wait(self.reactor, RETRY_DELAY_S * attempt)
            try:
                return await self.wire.commit(
                    expected=expected, values=values, removed=removed
                )
            except StoreReplyLostError:
                is_ambiguous = True
            except StoreUnavailableError as error:
                last_error = error
        if is_ambiguous:
            raise StoreReplyLostError("the outcome of a write is unknown")
        raise last_error
