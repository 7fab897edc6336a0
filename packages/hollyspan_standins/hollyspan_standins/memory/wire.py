"""In-memory stand-in of the store's wire."""

from twisted.internet import defer

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.store import Entry
from hollyspan_core.store import Page
from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.store import Commit

__all__ = ["MemoryWire"]


class MemoryWire:
    """In-memory store with injected faults.

    Attributes
    ----------
    is_down : bool
        Whether each call is refused.
    replies_to_lose : int
        Number of next writes that take effect but whose reply is lost.
    writes_to_lose : int
        Number of next writes that are lost before they take effect.
    writes_to_delay : int
        Number of next writes that are not answered and take effect with
        `apply_delayed_writes`, if their conditions hold then.
    stale_entries : dict or None
        Entries that reads which accept stale answers return; None for the
        current ones.
    compacted_revision : int
        Revision that the history is compacted to: a watch after an earlier
        revision fails.
    page_size : int
        Maximum number of entries in a page.
    calls : list of str
        Names of the calls made, in order.
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.entries = {}
        self.events = []
        self.revision = 1
        self.is_down = False
        self.replies_to_lose = 0
        self.writes_to_lose = 0
        self.writes_to_delay = 0
        self.delayed_writes = []
        self.stale_entries = None
        self.compacted_revision = 0
        self.page_size = 500
        self.waiting = []
        self.calls = []

    def check(self, call):
        self.calls.append(call)
        if self.is_down:
            raise StoreUnavailableError("down", outcome=Outcome.NOT_RUN)

    async def read(self, key):
        self.check("read")
        return self.entries.get(key)

    async def read_page(self, prefix, *, after, may_be_stale=False):
        self.check("read_stale_page" if may_be_stale else "read_page")
        entries = self.entries
        if may_be_stale and self.stale_entries is not None:
            entries = self.stale_entries
        keys = sorted(
            key
            for key in entries
            if key.startswith(prefix) and (after is None or key > after)
        )
        return Page(
            entries=[entries[key] for key in keys[: self.page_size]],
            has_more=len(keys) > self.page_size,
            revision=self.revision,
        )

    async def watch(self, prefix, *, after, seconds):
        self.check("watch")
        if after < self.compacted_revision:
            raise StoreHistoryLostError("compacted")
        end = self.reactor.seconds() + seconds
        while (
            not self.find_events(prefix, after)
            and self.reactor.seconds() < end
        ):
            changed = defer.Deferred()
            self.waiting.append(changed)
            call = self.reactor.callLater(
                end - self.reactor.seconds(), self.wake, changed
            )
            await changed
            if call.active():
                call.cancel()
            self.check("watch_end")
            if after < self.compacted_revision:
                raise StoreHistoryLostError("compacted")
        events = self.find_events(prefix, after)
        return Page(
            entries=[entry for _, entry in events],
            has_more=False,
            revision=self.revision,
            changed_revision=max(
                (revision for revision, _ in events), default=0
            ),
        )

    def find_events(self, prefix, after):
        return [
            (revision, entry)
            for revision, entry in self.events
            if revision > after and entry.key.startswith(prefix)
        ]

    def wake(self, changed):
        if changed in self.waiting:
            self.waiting.remove(changed)
            changed.callback(None)

    def wake_all(self):
        for changed in list(self.waiting):
            self.wake(changed)

    async def commit(self, *, expected, values, removed):
        self.check("commit")
        if self.writes_to_lose:
            self.writes_to_lose -= 1
            raise StoreReplyLostError("request lost")
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.delayed_writes.append((expected, values, removed))
            raise StoreReplyLostError("request delayed")
        commit = self.apply_write(expected, values, removed)
        if commit.succeeded and self.replies_to_lose:
            self.replies_to_lose -= 1
            raise StoreReplyLostError("reply lost")
        return commit

    def apply_delayed_writes(self):
        """Apply the delayed writes whose conditions still hold."""
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for write in delayed_writes:
            self.apply_write(*write)

    def apply_write(self, expected, values, removed):
        found = {
            key: self.entries[key] for key in expected if key in self.entries
        }
        for key, revision in expected.items():
            entry = found.get(key)
            if (entry.revision if entry else 0) != revision:
                return Commit(succeeded=False, found=found)
        self.change(values, removed)
        return Commit(succeeded=True, revision=self.revision)

    def change(self, values, removed=()):
        """Apply a change as if made by another writer."""
        self.revision += 1
        for key, value in values.items():
            previous = self.entries.get(key)
            entry = Entry(
                key=key,
                content=value[TOKEN_BYTES:],
                token=value[:TOKEN_BYTES],
                revision=self.revision,
                lease=0,
                created_revision=(
                    previous.created_revision if previous else self.revision
                ),
            )
            self.entries[key] = entry
            self.events.append((self.revision, entry))
        for key in removed:
            if self.entries.pop(key, None) is not None:
                deleted = Entry(
                    key=key, content=b"", token=b"", revision=0, lease=0
                )
                self.events.append((self.revision, deleted))
        self.wake_all()

    def describe_calls(self):
        return {}
