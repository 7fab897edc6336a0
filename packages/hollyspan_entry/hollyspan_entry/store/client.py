"""Client of the platform's store."""

import contextlib

from hollyspan_core.errors import LeaseLostError
from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.store import Page

from ..intake import open_agent
from .codec import compute_range_end
from .codec import decode_entry
from .codec import encode_bytes
from .codec import encode_key
from .reading import send_read
from .transport import Transport
from .watch import Watch
from .writing import delete_key
from .writing import put_value

__all__ = ["Store", "open_store"]

MAX_CONNECTIONS = 8
# Entries of a list whose answer was too large for more of them.
FEW_ENTRIES = 8


@contextlib.contextmanager
def open_store(*, url, reactor, timeout, create_token):
    """Open a client of the store and close its connections at the end.

    Parameters
    ----------
    url : str
        Base URL of the store.
    reactor : twisted reactor
    timeout : float
        Seconds for one call.
    create_token : callable
        Returns 16 new random bytes.

    Yields
    ------
    Store
    """
    with open_agent(
        reactor, timeout=timeout, max_connections=MAX_CONNECTIONS
    ) as agent:
        transport = Transport(
            url=url, reactor=reactor, agent=agent, timeout=timeout
        )
        yield Store(transport=transport, create_token=create_token)


class Store:
    """Single-key operations on the platform's store.

    Parameters
    ----------
    transport : Transport
    create_token : callable
        Returns 16 new random bytes.

    Notes
    -----
    Each method but `watch` returns an awaitable. A read whose connection
    fails is sent again while the store has just answered other calls, and
    raises `StoreUnavailableError` if it fails again. A write whose reply is
    lost is sent again with the same token until an answer arrives; if none
    does, it raises `StoreReplyLostError`. A write that was never sent raises
    `StoreUnavailableError` with the outcome ``not_run``.
    """

    __slots__ = ("transport", "create_token")

    def __init__(self, *, transport, create_token):
        self.transport = transport
        self.create_token = create_token

    @property
    def calls(self):
        """Count of calls by kind."""
        return self.transport.calls

    async def get(self, key):
        """Return the entry of a key, or None.

        Parameters
        ----------
        key : str

        Returns
        -------
        Entry or None
        """
        answer = await send_read(
            self.transport, "kv/range", {"key": encode_key(key)}
        )
        pairs = answer.get("kvs", [])
        return decode_entry(pairs[0]) if pairs else None

    async def list(self, prefix, *, after=None, limit=100, keys_only=False):
        """List the entries below a prefix.

        Parameters
        ----------
        prefix : str
        after : str, optional
            Only keys that sort after this one.
        limit : int, optional
            Maximum number of entries to return.
        keys_only : bool, optional
            Return entries without contents.

        Returns
        -------
        Page
            It has fewer entries than asked for, and more follow, when an
            answer with all of them exceeds the limits on what is read.
        """
        for fewer in (FEW_ENTRIES, 1):
            try:
                return await self.read_page(
                    prefix, after=after, limit=limit, keys_only=keys_only
                )
            except StoreAnswerTooLargeError:
                if limit <= fewer:
                    raise
                limit = fewer
        return await self.read_page(
            prefix, after=after, limit=limit, keys_only=keys_only
        )

    async def read_page(self, prefix, *, after, limit, keys_only):
        """Read entries below a prefix with one call."""
        start = prefix.encode() if after is None else after.encode() + b"\0"
        answer = await send_read(
            self.transport,
            "kv/range",
            {
                "key": encode_bytes(start),
                "range_end": encode_bytes(compute_range_end(prefix)),
                "limit": str(limit),
                "keys_only": keys_only,
            },
        )
        return Page(
            entries=[decode_entry(pair) for pair in answer.get("kvs", [])],
            has_more=bool(answer.get("more", False)),
            revision=int(answer["header"]["revision"]),
        )

    async def create(self, key, content, *, lease=0):
        """Create a key that does not exist.

        Parameters
        ----------
        key : str
        content : bytes
        lease : int, optional
            Lease to bind the key to.

        Returns
        -------
        Entry

        Raises
        ------
        StoreKeyExistsError
            Another writer created it; `entry` holds the current entry.
        """
        compare = {"target": "CREATE", "create_revision": "0"}
        return await put_value(
            self.transport,
            key=key,
            content=content,
            token=self.create_token(),
            lease=lease,
            compare=compare,
            failure=StoreKeyExistsError,
        )

    async def replace(self, key, content, *, revision, lease=0):
        """Replace the value of a key if it has not changed.

        Parameters
        ----------
        key : str
        content : bytes
        revision : int
            Revision of the entry that was read.
        lease : int, optional
            Lease to bind the key to.

        Returns
        -------
        Entry

        Raises
        ------
        StoreConflictError
            The key has changed; `entry` holds the current entry, or None.
        """
        compare = {"target": "MOD", "mod_revision": str(revision)}
        return await put_value(
            self.transport,
            key=key,
            content=content,
            token=self.create_token(),
            lease=lease,
            compare=compare,
            failure=StoreConflictError,
        )

    async def delete(self, key, *, revision):
        """Delete a key if it has not changed; ignore an absent key.

        Parameters
        ----------
        key : str
        revision : int
            Revision of the entry that was read.

        Raises
        ------
        StoreConflictError
            The key has changed; `entry` holds the current entry.
        """
        await delete_key(self.transport, key=key, revision=revision)

    async def grant_lease(self, ttl):
        """Create a lease.

        Parameters
        ----------
        ttl : float
            Seconds, rounded up to whole ones by the store.

        Returns
        -------
        int
            Identifier of the lease.
        """
        seconds = str(max(1, int(-(-ttl // 1))))
        answer = await self.transport.call("lease/grant", {"TTL": seconds})
        return int(answer["ID"])

    async def renew_lease(self, lease):
        """Renew a lease.

        Parameters
        ----------
        lease : int

        Raises
        ------
        LeaseLostError
            The store no longer has the lease, which expired or was revoked.
        """
        answer = await self.transport.call(
            "lease/keepalive", {"ID": str(lease)}
        )
        if int(answer.get("result", {}).get("TTL", 0)) <= 0:
            raise LeaseLostError(f"lease {lease:x} has lapsed")

    async def revoke_lease(self, lease):
        """Revoke a lease, which deletes the keys bound to it.

        Parameters
        ----------
        lease : int
        """
        await self.transport.call("lease/revoke", {"ID": str(lease)})

    def watch(self, prefix, *, on_event, on_lost, revision=0):
        """Watch the keys below a prefix.

        Parameters
        ----------
        prefix : str
        on_event : callable
            Called with an Entry for each change; its revision is 0 if the
            key was deleted.
        on_lost : callable
            Called once without arguments when the watch has ended.
        revision : int, optional
            First revision to report; by default only new changes are
            reported.

        Returns
        -------
        Watch
            `stop` ends it.
        """
        self.transport.count("watch")
        watch = Watch(on_event=on_event, on_lost=on_lost)
        watch.start(
            agent=self.transport.agent,
            url=self.transport.url,
            prefix=prefix,
            revision=revision,
        )
        return watch
