"""Client of the platform's store."""

import contextlib
import json

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from hollyspan_core.errors import LeaseLostError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import StoreValueTooLargeError

from .codec import decode_entry
from .codec import encode_bytes
from .codec import encode_key
from .codec import end_of_prefix
from .codec import TOKEN_BYTES
from .entry import Entry
from .entry import Page
from .watch import Watch

__all__ = ["Store", "open_store"]

MAX_VALUE_BYTES = 1_000_000
MAX_CONNECTIONS = 8
WRITE_TRIES = 4
NEVER_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
)


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
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = MAX_CONNECTIONS
    agent = client.Agent(reactor, connectTimeout=timeout, pool=pool)
    store = Store(
        url=url,
        reactor=reactor,
        agent=agent,
        timeout=timeout,
        create_token=create_token,
    )
    try:
        yield store
    finally:
        pool.closeCachedConnections()


class Store:
    """Single-key operations on the platform's store.

    Parameters
    ----------
    url : str
    reactor : twisted reactor
    agent : IAgent
    timeout : float
        Seconds for one call.
    create_token : callable
        Returns 16 new random bytes.

    Notes
    -----
    Each method but `watch` returns an awaitable. Reads raise
    `StoreUnavailableError`. A write whose reply is lost is sent again with
    the same token until the answer is certain; when none comes it raises
    `StoreReplyLostError`. A write that was never sent raises
    `StoreUnavailableError` with the outcome ``not_run``.
    """

    __slots__ = (
        "url",
        "reactor",
        "agent",
        "timeout",
        "create_token",
        "calls",
    )

    def __init__(self, *, url, reactor, agent, timeout, create_token):
        self.url = url
        self.reactor = reactor
        self.agent = agent
        self.timeout = timeout
        self.create_token = create_token
        self.calls = {}

    async def get(self, key):
        """Return the entry of a key, or None.

        Parameters
        ----------
        key : str

        Returns
        -------
        Entry or None
        """
        answer = await self.call("kv/range", {"key": encode_key(key)})
        pairs = answer.get("kvs", [])
        return decode_entry(pairs[0]) if pairs else None

    async def list(self, prefix, *, after=None, limit=100, keys_only=False):
        """List the entries below a prefix.

        Parameters
        ----------
        prefix : str
        after : str, optional
            Only keys behind this one.
        limit : int, optional
            Most entries to return.
        keys_only : bool, optional
            Leave the contents empty.

        Returns
        -------
        Page
        """
        start = prefix.encode() if after is None else after.encode() + b"\0"
        answer = await self.call(
            "kv/range",
            {
                "key": encode_bytes(start),
                "range_end": encode_bytes(end_of_prefix(prefix)),
                "limit": str(limit),
                "keys_only": keys_only,
            },
        )
        return Page(
            entries=[decode_entry(pair) for pair in answer.get("kvs", [])],
            more=bool(answer.get("more", False)),
            revision=int(answer["header"]["revision"]),
        )

    async def create(self, key, content, *, lease=0):
        """Create a key that is absent.

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
            Another writer created it; `entry` holds what is there.
        """
        compare = {"target": "CREATE", "create_revision": "0"}
        return await self.put(
            key,
            content,
            lease=lease,
            compare=compare,
            failure=StoreKeyExistsError,
        )

    async def replace(self, key, content, *, revision, lease=0):
        """Replace the value of a key that has not changed.

        Parameters
        ----------
        key : str
        content : bytes
        revision : int
            Revision of the entry that was read.
        lease : int, optional

        Returns
        -------
        Entry

        Raises
        ------
        StoreConflictError
            The key has changed; `entry` holds what is there, or None.
        """
        compare = {"target": "MOD", "mod_revision": str(revision)}
        return await self.put(
            key,
            content,
            lease=lease,
            compare=compare,
            failure=StoreConflictError,
        )

    async def delete(self, key, *, revision):
        """Delete a key that has not changed; an absent key is no failure.

        Parameters
        ----------
        key : str
        revision : int
            Revision of the entry that was read.

        Raises
        ------
        StoreConflictError
            The key has changed; `entry` holds what is there.
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
        answer, ambiguous = await self.write(body)
        found = None if answer.get("succeeded") else read_failure(answer)
        if found is not None:
            raise StoreConflictError(
                f"key {key} was changed by another writer",
                entry=found,
                ambiguous=ambiguous,
            )

    async def put(self, key, content, *, lease, compare, failure):
        """Put a value under a comparison; see `create` and `replace`."""
        if len(content) + TOKEN_BYTES > MAX_VALUE_BYTES:
            raise StoreValueTooLargeError(
                f"{len(content)} bytes for key {key}"
            )
        token = self.create_token()
        encoded = encode_key(key)
        put = {"key": encoded, "value": encode_bytes(token + content)}
        if lease:
            put["lease"] = str(lease)
        body = {
            "compare": [{"key": encoded, "result": "EQUAL", **compare}],
            "success": [{"request_put": put}],
            "failure": [{"request_range": {"key": encoded}}],
        }
        answer, ambiguous = await self.write(body)
        if answer.get("succeeded"):
            return Entry(
                key=key,
                content=content,
                token=token,
                revision=int(answer["header"]["revision"]),
                lease=lease,
            )
        found = read_failure(answer)
        # An earlier copy of this write, whose reply was lost, took effect.
        if found is not None and found.token == token:
            return found
        raise failure(
            f"key {key} was changed by another writer",
            entry=found,
            ambiguous=ambiguous,
        )

    async def write(self, body):
        """Send a transaction until its answer is certain.

        Parameters
        ----------
        body : dict

        Returns
        -------
        tuple of (dict, bool)
            The answer, and whether an earlier copy had no certain answer.
        """
        ambiguous = False
        for _ in range(WRITE_TRIES):
            try:
                return await self.call("kv/txn", body), ambiguous
            except StoreReplyLostError:
                ambiguous = True
            except StoreUnavailableError:
                if not ambiguous:
                    raise
        raise StoreReplyLostError("no certain answer to a write")

    async def grant_lease(self, ttl):
        """Create a lease.

        Parameters
        ----------
        ttl : float
            Seconds, rounded up to whole ones by the store.

        Returns
        -------
        int
            Its identifier.
        """
        seconds = str(max(1, int(-(-ttl // 1))))
        answer = await self.call("lease/grant", {"TTL": seconds})
        return int(answer["ID"])

    async def keep_lease(self, lease):
        """Renew a lease.

        Parameters
        ----------
        lease : int

        Raises
        ------
        LeaseLostError
            The store no longer knows the lease.
        """
        answer = await self.call("lease/keepalive", {"ID": str(lease)})
        if int(answer.get("result", {}).get("TTL", 0)) <= 0:
            raise LeaseLostError(f"lease {lease:x} has lapsed")

    async def revoke_lease(self, lease):
        """End a lease; the keys bound to it are deleted.

        Parameters
        ----------
        lease : int
        """
        await self.call("lease/revoke", {"ID": str(lease)})

    def watch(self, prefix, *, on_event, on_lost, revision=0):
        """Watch the keys below a prefix.

        Parameters
        ----------
        prefix : str
        on_event : callable
            Called with an Entry for each change; its revision is 0 when the
            key was deleted.
        on_lost : callable
            Called once without arguments when the watch has ended.
        revision : int, optional
            First revision to report; from now on without one.

        Returns
        -------
        Watch
            `stop` ends it.
        """
        self.count("watch")
        watch = Watch(on_event=on_event, on_lost=on_lost)
        watch.start(
            agent=self.agent, url=self.url, prefix=prefix, revision=revision
        )
        return watch

    def count(self, kind):
        """Count a call by its kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1

    async def call(self, path, body):
        """Post one call and decode its answer.

        Parameters
        ----------
        path : str
        body : dict

        Returns
        -------
        dict

        Raises
        ------
        StoreReplyLostError
            The call was sent and may have taken effect.
        StoreUnavailableError
            The call was never sent, or was refused before it took effect.
        """
        self.count(path)
        work = defer.ensureDeferred(self.post(path, body))
        work.addTimeout(self.timeout, self.reactor)
        try:
            return await work
        except NEVER_SENT as failure:
            raise StoreUnavailableError(
                "the store cannot be reached", outcome=Outcome.NOT_RUN
            ) from failure
        except (
            defer.TimeoutError,
            error.ConnectionLost,
            error.ConnectionDone,
            client.ResponseFailed,
            ValueError,
        ) as failure:
            raise StoreReplyLostError(
                f"no answer from the store to {path}"
            ) from failure

    async def post(self, path, body):
        response = await treq.post(
            f"{self.url}/v3/{path}",
            data=json.dumps(body).encode(),
            agent=self.agent,
        )
        content = await treq.content(response)
        if response.code == 503:
            raise StoreUnavailableError(
                "the store is out of service", outcome=Outcome.NOT_RUN
            )
        if response.code != 200:
            raise StoreUnavailableError(
                f"the store answered {response.code} to {path}"
            )
        return json.loads(content)


def read_failure(answer):
    ranges = answer["responses"][0]["response_range"]
    pairs = ranges.get("kvs", [])
    return decode_entry(pairs[0]) if pairs else None
