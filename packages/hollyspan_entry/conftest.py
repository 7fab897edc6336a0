"""Fixtures, with an in-memory store that behaves like the store client."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import LeaseLostError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.store import Entry
from hollyspan_entry.store import Page


class MemoryStore:
    """In-memory store with simulated outages and lost replies.

    Attributes
    ----------
    outage : bool
        True while all calls fail without being sent.
    lost_reply_prefix : str or None
        Writes of keys with this prefix take effect, but raise the error for
        a lost reply, as if no attempt of the write was answered.
    before_write : callable or None
        Called once with the key before the next write.
    """

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.leases = set()
        self.outage = False
        self.lost_reply_prefix = None
        self.before_write = None

    def check(self):
        if self.outage:
            raise StoreUnavailableError("outage", outcome=Outcome.NOT_RUN)

    async def get(self, key):
        self.check()
        return self.entries.get(key)

    async def list(self, prefix, *, after=None, limit=100, keys_only=False):
        self.check()
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and (after is None or key > after)
        )
        return Page(
            entries=[self.entries[key] for key in keys[:limit]],
            has_more=len(keys) > limit,
            revision=self.revision,
        )

    async def create(self, key, content, *, lease=0):
        return self.write(key, content, lease, None, StoreKeyExistsError)

    async def replace(self, key, content, *, revision, lease=0):
        return self.write(key, content, lease, revision, StoreConflictError)

    async def delete(self, key, *, revision):
        self.check()
        found = self.entries.get(key)
        if found is not None and found.revision != revision:
            raise StoreConflictError("changed", entry=found)
        self.entries.pop(key, None)

    def write(self, key, content, lease, revision, failure):
        self.check()
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook(key)
        found = self.entries.get(key)
        if (found and found.revision) != revision:
            raise failure("changed", entry=found)
        if lease and lease not in self.leases:
            raise StoreUnavailableError("no such lease")
        self.revision += 1
        entry = Entry(
            key=key,
            content=content,
            token=b"",
            revision=self.revision,
            lease=lease,
        )
        self.entries[key] = entry
        if self.lost_reply_prefix is not None and key.startswith(
            self.lost_reply_prefix
        ):
            raise StoreReplyLostError("no certain answer to a write")
        return entry

    async def grant_lease(self, ttl):
        self.check()
        lease = max(self.leases, default=0) + 1
        self.leases.add(lease)
        return lease

    async def renew_lease(self, lease):
        self.check()
        if lease not in self.leases:
            raise LeaseLostError("lapsed")

    async def revoke_lease(self, lease):
        self.check()
        self.expire(lease)

    def expire(self, lease):
        """Expire a lease and delete the keys bound to it."""
        self.leases.discard(lease)
        for key, entry in list(self.entries.items()):
            if entry.lease == lease:
                del self.entries[key]


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def run():
    """Return a function that runs a coroutine which never suspends."""

    def finish(work):
        results = []
        defer.ensureDeferred(work).addBoth(results.append)
        (result,) = results
        if hasattr(result, "raiseException"):
            result.raiseException()
        return result

    return finish
