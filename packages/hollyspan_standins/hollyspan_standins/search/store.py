"""Store in memory, and the calls that one process makes there."""

import bisect

from twisted.internet import defer

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.store import Entry
from hollyspan_core.store import Page
from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.clock import wait
from hollyspan_gateway.store import Commit

__all__ = ["SearchStore", "StoreWire"]

ONE_WAY_S = 0.002
CALL_TIMEOUT_S = 1.0
# Keep-alive probes find a watch over a dead link after this time.
WATCH_MARGIN_S = 1.0
# Age from which a copy is too old for an answer that may be stale.
STALE_S = 3.0
PLATFORM_PREFIXES = ("configuration/", "upstreams/")


class SearchStore:
    """Keys with revisions, conditional writes and watches.

    Parameters
    ----------
    clock : SearchClock
    page_size : int
        Longest page of entries.

    Attributes
    ----------
    entries : dict
    events : list of Entry
        All changes, in order; a removal has the revision 0.
    state : str
        ``whole``, ``refuses`` (calls fail at once) or ``silent``.
    late_seconds : float
        Time by which all answers are late.
    watch_late_seconds : float
        Time by which watches return changes late.
    writes_to_lose, replies_to_lose, writes_to_delay : int
        Number of next writes without effect, of those whose answer is lost,
        and of those that take effect after their caller has given up.
    watches_to_miss : int
        Number of next answers to watches that lack their changes.
    values_to_cut : int
        Number of next answers whose values of the gateways' own are cut.
    links : list of StoreWire
    writes : dict
        Number of times that each key was written.
    """

    def __init__(self, *, clock, page_size):
        self.clock = clock
        self.page_size = page_size
        self.copied_at = -STALE_S
        self.copy = {}
        self.copy_revision = 0
        self.entries = {}
        self.events = []
        self.revisions = []
        self.revision = 1
        self.compacted_revision = 0
        self.state = "whole"
        self.late_seconds = 0.0
        self.watch_late_seconds = 0.0
        self.writes_to_lose = 0
        self.replies_to_lose = 0
        self.writes_to_delay = 0
        self.watches_to_miss = 0
        self.values_to_cut = 0
        self.links = []
        self.watchers = []
        self.writes = {}

    def set_state(self, state):
        """Change how the store answers all processes."""
        self.state = state
        for link in self.links:
            link.apply_state()

    def compact(self):
        """Forget the history; watches after earlier revisions fail."""
        self.compacted_revision = self.revision
        self.wake(lambda key: True)

    def list_page(self, prefix, *, after, may_be_stale):
        """Return a page as of now, or as of some seconds ago."""
        entries, revision = self.entries, self.revision
        if may_be_stale:
            if self.clock.now - self.copied_at >= STALE_S:
                self.copied_at = self.clock.now
                self.copy = dict(self.entries)
                self.copy_revision = self.revision
            entries, revision = self.copy, self.copy_revision
        keys = sorted(
            key
            for key in entries
            if key.startswith(prefix) and (after is None or key > after)
        )
        return Page(
            entries=self.cut_values(
                [entries[key] for key in keys[: self.page_size]]
            ),
            has_more=len(keys) > self.page_size,
            revision=revision,
        )

    def cut_values(self, entries):
        """Return entries as an answer holds them."""
        if not self.values_to_cut or not any(map(is_own_value, entries)):
            return entries
        self.values_to_cut -= 1
        return [
            cut_entry(entry) if is_own_value(entry) else entry
            for entry in entries
        ]

    def find_events(self, prefix, after):
        first = bisect.bisect_right(self.revisions, after)
        return [
            (self.revisions[index], self.events[index])
            for index in range(first, len(self.events))
            if self.events[index].key.startswith(prefix)
        ]

    def apply(self, expected, values, removed):
        """Apply a conditional write."""
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
        self.revision += 1
        changed = []
        for key, value in values.items():
            self.writes[key] = self.writes.get(key, 0) + 1
            previous = self.entries.get(key)
            size = 0 if key.startswith(PLATFORM_PREFIXES) else TOKEN_BYTES
            entry = Entry(
                key=key,
                content=value[size:],
                token=value[:size],
                revision=self.revision,
                lease=0,
                created_revision=(
                    previous.created_revision if previous else self.revision
                ),
            )
            self.entries[key] = entry
            changed.append(entry)
        for key in removed:
            if self.entries.pop(key, None) is not None:
                changed.append(
                    Entry(key=key, content=b"", token=b"", revision=0, lease=0)
                )
        self.events += changed
        self.revisions += [self.revision] * len(changed)
        keys = [entry.key for entry in changed]
        self.wake(lambda prefix: any(key.startswith(prefix) for key in keys))

    def wake(self, is_touched):
        for watcher in list(self.watchers):
            if is_touched(watcher[0]):
                self.fire(watcher)

    def add_watcher(self, prefix):
        """Return a watcher, whose second value fires with the next change."""
        watcher = (prefix, defer.Deferred())
        self.watchers.append(watcher)
        return watcher

    def fire(self, watcher):
        if watcher in self.watchers:
            self.watchers.remove(watcher)
            watcher[1].callback(None)


class StoreWire:
    """Calls of one process to the store.

    Parameters
    ----------
    store : SearchStore
    reactor : ProcessClock

    Attributes
    ----------
    own_state : str
        The same for this process alone.
    """

    def __init__(self, *, store, reactor):
        self.store = store
        self.reactor = reactor
        self.own_state = "whole"
        self.waiting = []
        store.links.append(self)

    def set_state(self, state):
        self.own_state = state
        self.apply_state()

    def find_state(self):
        if self.own_state != "whole":
            return self.own_state
        return self.store.state

    def apply_state(self):
        if self.find_state() == "refuses":
            for watcher in list(self.waiting):
                self.reactor.callLater(ONE_WAY_S, self.store.fire, watcher)

    async def travel(self, deadline):
        """Bring a request or an answer over, unless the link is dead.

        Raises
        ------
        StoreReplyLostError
        StoreUnavailableError
            The store refuses it.
        """
        now = self.reactor.seconds()
        state = self.find_state()
        delay = ONE_WAY_S + self.store.late_seconds / 2
        if state == "silent" or now + delay > deadline:
            await wait(self.reactor, max(0.0, deadline - now))
            raise StoreReplyLostError("no answer within the timeout")
        await wait(self.reactor, delay)
        if state == "refuses":
            raise StoreUnavailableError("refused", outcome=Outcome.NOT_RUN)

    async def answer(self, deadline):
        try:
            await self.travel(deadline)
        except StoreReplyLostError:
            raise
        except StoreUnavailableError as error:
            raise StoreReplyLostError("connection closed") from error

    async def read(self, key):
        deadline = self.reactor.seconds() + CALL_TIMEOUT_S
        await self.travel(deadline)
        entry = self.store.entries.get(key)
        if entry is not None:
            (entry,) = self.store.cut_values([entry])
        await self.answer(deadline)
        return entry

    async def read_page(self, prefix, *, after, may_be_stale=False):
        deadline = self.reactor.seconds() + CALL_TIMEOUT_S
        await self.travel(deadline)
        page = self.store.list_page(
            prefix, after=after, may_be_stale=may_be_stale
        )
        await self.answer(deadline)
        return page

    async def watch(self, prefix, *, after, seconds):
        started = self.reactor.seconds()
        deadline = started + seconds + WATCH_MARGIN_S
        await self.travel(min(deadline, started + CALL_TIMEOUT_S))
        store = self.store
        self.require_history(after)
        if not store.find_events(prefix, after):
            await self.wait_for_change(prefix, started + seconds)
            self.require_history(after)
        events = store.find_events(prefix, after)
        if events and store.watches_to_miss:
            store.watches_to_miss -= 1
            events = []
        page = Page(
            entries=store.cut_values([entry for _, entry in events]),
            has_more=False,
            revision=store.revision,
            changed_revision=max(
                (revision for revision, _ in events), default=0
            ),
        )
        late = store.watch_late_seconds
        if events and late:
            late = min(late, max(0.0, deadline - self.reactor.seconds()))
            await wait(self.reactor, late)
        await self.answer(deadline)
        return page

    def require_history(self, after):
        if after < self.store.compacted_revision:
            raise StoreHistoryLostError("compacted")

    async def wait_for_change(self, prefix, until):
        watcher = self.store.add_watcher(prefix)
        self.waiting.append(watcher)
        call = self.reactor.callLater(
            until - self.reactor.seconds(), self.store.fire, watcher
        )
        try:
            await watcher[1]
        finally:
            self.waiting.remove(watcher)
            if watcher in self.store.watchers:
                self.store.watchers.remove(watcher)
            if call.active():
                call.cancel()

    async def commit(self, *, expected, values, removed):
        deadline = self.reactor.seconds() + CALL_TIMEOUT_S
        await self.travel(deadline)
        store = self.store
        if store.writes_to_lose:
            store.writes_to_lose -= 1
            raise StoreReplyLostError("request lost")
        if store.writes_to_delay:
            store.writes_to_delay -= 1
            store.clock.callLater(
                CALL_TIMEOUT_S, store.apply, expected, values, removed
            )
            await wait(self.reactor, deadline - self.reactor.seconds())
            raise StoreReplyLostError("no answer within the timeout")
        commit = store.apply(expected, values, removed)
        if commit.succeeded and store.replies_to_lose:
            store.replies_to_lose -= 1
            raise StoreReplyLostError("reply lost")
        await self.answer(deadline)
        return commit

    def describe_calls(self):
        return {}


def is_own_value(entry):
    """Return whether gateways have written the value of an entry."""
    return bool(entry.content) and not entry.key.startswith(PLATFORM_PREFIXES)


def cut_entry(entry):
    """Return an entry with the first half of its value."""
    return Entry(
        key=entry.key,
        content=entry.content[: len(entry.content) // 2],
        token=entry.token,
        revision=entry.revision,
        lease=entry.lease,
        created_revision=entry.created_revision,
    )
