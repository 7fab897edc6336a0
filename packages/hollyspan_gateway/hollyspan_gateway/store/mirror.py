"""Mirror of the store's entries below a prefix."""

import math
import random

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.freshness import estimate_answer_age

from ..clock import wait

__all__ = ["Mirror", "WATCH_TIMEOUT_S"]

# Below the 20 s of history that the store keeps, but long, since the store
# counts each call.
WATCH_TIMEOUT_S = 15.0
# Timeout of a watch while disconnected: without changes only its end shows
# that the store is available again, and items are run only from then on.
DISCONNECTED_WATCH_TIMEOUT_S = 0.5
# Delay after a watch that returned changes, so that the next one coalesces
# those that follow closely; doubled while changes continue, as when a whole
# fleet registers. Changes have to be applied
# within seconds, which leaves time for these delays.
COALESCING_DELAY_S = 0.1
MAX_COALESCING_DELAY_S = 0.4
# Longest time of a watch that returns changes which were made before it began.
IMMEDIATE_ANSWER_S = 0.1
# Age of changes that come with a peer's snapshot or a listing: the delays of
# the gateway that watches and of this one, which reads its copy.
MAX_SNAPSHOT_AGE_S = 1.2
# Back-off after a failed call, doubled up to the maximum, which is short
# enough to detect the store's return within a second.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# Interval between checks whether the changes have to be watched here.
PASSIVE_CHECK_INTERVAL_S = 0.5


class Mirror:
    """Keeps a copy of the entries below a prefix by watching the store.

    Parameters
    ----------
    store : Store
    reactor : twisted reactor
    prefix : str
    on_change : callable
        Called with the mirror after entries have changed.
    must_watch : callable, optional
        Returns whether to watch the store now. Without the watch, changes
        come as snapshots of peers. By default the store is always watched.
    on_news : callable, optional
        Called without arguments after a watch has returned changes.
    clock : callable, optional
        Returns the seconds of a clock that goes on while the machine is
        suspended; by default that of the reactor.
    choose_wait : callable, optional
        Returns how long a watch waits, in seconds; called with whether the
        one before it returned changes.
    measure_stall : callable, optional
        Returns the seconds for which an answer may not have been read.
    on_proof : callable, optional
        Called without arguments after a watch has ended without changes.
    reduce : callable, optional
        Called with each Entry that is read, returns what is kept of it; by
        default the whole entry.

    Attributes
    ----------
    entries : dict
        Entry by key.
    revision : int
        Store revision that the entries reflect; 0 before the first read.
    changed_revision : int
        Revision of the last known change of the entries.
    change_age : float
        Time by which the last changes may be older than their arrival here,
        seconds.
    confirmed_at : float
        Time on the clock at which the entries are known to have been all that
        the store had: when a call was sent, not when it was answered.
    proven_at : float
        Time on the clock at which the entries are known to have been all that
        the store had, if answers arrive soon.
    answered_at : float
        Time on the clock of the last answer to a watch that proves anything.
    is_connected : bool
        True when the last call succeeded.
    reconnected_at : float or None
        Time of the first successful call after the start or after a failure,
        reactor seconds.
    """

    def __init__(
        self,
        *,
        store,
        reactor,
        prefix,
        on_change,
        must_watch=lambda: True,
        on_news=lambda: None,
        clock=None,
        choose_wait=lambda *, is_first: WATCH_TIMEOUT_S,
        measure_stall=lambda: 0.0,
        on_proof=lambda: None,
        reduce=lambda entry: entry,
    ):
        self.store = store
        self.reactor = reactor
        self.prefix = prefix
        self.on_change = on_change
        self.must_watch = must_watch
        self.on_news = on_news
        self.clock = clock or reactor.seconds
        self.choose_wait = choose_wait
        self.measure_stall = measure_stall
        self.on_proof = on_proof
        self.reduce = reduce
        self.entries = {}
        self.revision = 0
        self.changed_revision = 0
        self.change_age = 0.0
        self.read_at = reactor.seconds()
        self.confirmed_at = -math.inf
        self.proven_at = -math.inf
        self.answered_at = -math.inf
        self.has_changed = True
        self.is_connected = False
        self.reconnected_at = None
        self.is_stopped = False
        self.needs_listing = True
        self.backoff = INITIAL_BACKOFF_S
        self.coalescing_delay = COALESCING_DELAY_S
        self.follower = None

    def start(self):
        """Start following the store."""
        self.follower = defer.ensureDeferred(self.follow_changes())
        self.follower.addErrback(self.handle_end)

    def stop(self):
        """Stop following the store."""
        self.is_stopped = True
        if self.follower is not None:
            self.follower.cancel()

    def refresh(self):
        """Cancel the watch and read all entries, since there are newer ones.

        Returns
        -------
        bool
            False if they are to be read anyway.
        """
        if self.needs_listing or self.is_stopped:
            return False
        self.needs_listing = True
        self.follower.cancel()
        return True

    def reopen(self):
        """Watch again from the revision reached, on another connection.

        The changes that a silent watch has not brought come from the store's
        history, which costs far less than to read all entries.
        """
        if not self.needs_listing and not self.is_stopped:
            self.follower.cancel()

    def apply_snapshot(self, page, *, connected_seconds=None, asked_at=None):
        """Replace the entries by a peer's snapshot if it is newer.

        Parameters
        ----------
        page : Page
        connected_seconds : float, optional
            For how long the peer has reached the store. Entries may be
            missing shortly after an outage that only the peer has noticed.
        asked_at : float, optional
            Time on the clock at which the peer was asked.

        Returns
        -------
        bool
            True when it was newer.
        """
        if page.revision <= self.revision:
            return False
        if connected_seconds is not None and self.is_connected:
            self.reconnected_at = self.reactor.seconds() - connected_seconds
        self.replace_entries(page)
        if asked_at is not None and page.confirmed_age is not None:
            self.confirm(asked_at - page.confirmed_age)
        return True

    def confirm(self, at):
        """Note that the entries were all that the store had at a time."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.prove(at)

    def prove(self, at):
        """Note that the entries were all at a time, by what came in time."""
        self.proven_at = max(self.proven_at, at)

    @property
    def age(self):
        """Seconds since the entries were all that the store had."""
        return self.clock() - self.proven_at

    def measure_confirmed_age(self):
        """Return the seconds since the confirmation, None without one."""
        if self.confirmed_at == -math.inf:
            return None
        return self.clock() - self.confirmed_at

    def measure_connected_seconds(self):
        """Return for how long the store was reached, None if it is not."""
        if not self.is_connected or self.reconnected_at is None:
            return None
        return self.reactor.seconds() - self.reconnected_at

    def replace_entries(self, page):
        """Replace the entries by those of a page."""
        self.entries = {entry.key: entry for entry in page.entries}
        self.revision = page.revision
        self.changed_revision = max(
            self.changed_revision,
            page.changed_revision,
            *(entry.revision for entry in page.entries),
        )
        self.change_age = MAX_SNAPSHOT_AGE_S
        self.read_at = self.reactor.seconds()
        self.on_change(self)

    def handle_end(self, failure):
        if failure.check(defer.CancelledError):
            if not self.is_stopped:
                self.start()
            return
        eliot.write_failure(failure)
        # The entries may not have been applied.
        self.needs_listing = True
        self.reactor.callLater(MAX_BACKOFF_S, self.start)

    async def follow_changes(self):
        while not self.is_stopped:
            try:
                if self.needs_listing:
                    await self.read_all()
                    self.record_success()
                    continue
                if not self.must_watch():
                    await wait(self.reactor, PASSIVE_CHECK_INTERVAL_S)
                    continue
                watch_start = self.reactor.seconds()
                page = await self.read_changes()
                self.record_success()
                if not page.entries:
                    self.on_proof()
                else:
                    self.on_news()
                    await wait(
                        self.reactor, self.choose_coalescing_delay(watch_start)
                    )
            except StoreHistoryLostError:
                self.record_success()
                eliot.log_message(
                    "mirror:history_lost",
                    prefix=self.prefix,
                    revision=self.revision,
                )
                self.needs_listing = True
            except StoreUnavailableError as error:
                self.record_failure(error)
                if isinstance(error, StoreAnswerTooLargeError):
                    # The same changes would be too many again.
                    self.needs_listing = True
                await wait(self.reactor, self.backoff * random.uniform(0.5, 1))
                self.backoff = min(MAX_BACKOFF_S, self.backoff * 2)

    def choose_coalescing_delay(self, watch_start):
        """Return the delay after changes, which depends on how soon they came.

        Parameters
        ----------
        watch_start : float
            Start of the watch that returned them, reactor seconds.
        """
        if self.reactor.seconds() - watch_start < self.coalescing_delay:
            self.coalescing_delay = min(
                MAX_COALESCING_DELAY_S, self.coalescing_delay * 2
            )
        else:
            self.coalescing_delay = COALESCING_DELAY_S
        return self.coalescing_delay

    def record_success(self):
        self.backoff = INITIAL_BACKOFF_S
        if not self.is_connected:
            self.is_connected = True
            self.reconnected_at = self.reactor.seconds()
            eliot.log_message(
                "mirror:connected", prefix=self.prefix, revision=self.revision
            )

    def record_failure(self, error):
        if self.is_connected:
            eliot.log_message(
                "mirror:lost",
                prefix=self.prefix,
                revision=self.revision,
                reason=error.message,
            )
        self.is_connected = False

    async def read_all(self):
        sent_at = self.clock()
        page = await self.store.list(self.prefix, reduce=self.reduce)
        self.needs_listing = False
        if page.revision < self.revision:
            # A peer's snapshot is newer; the watch continues from there.
            return
        self.replace_entries(page)
        self.confirm(sent_at)

    async def read_changes(self):
        started_at = self.reactor.seconds()
        sent_at = self.clock()
        watched_from = self.revision
        seconds = DISCONNECTED_WATCH_TIMEOUT_S
        if self.is_connected:
            seconds = self.choose_wait(is_first=self.has_changed)
        page = await self.store.watch(
            self.prefix, after=watched_from, seconds=seconds
        )
        if self.revision != watched_from:
            # A peer's snapshot has come meanwhile. The next watch returns the
            # changes that are newer.
            return page
        now = self.reactor.seconds()
        self.change_age = 0.0
        if now - started_at < IMMEDIATE_ANSWER_S:
            # They were made after the answer before this one.
            self.change_age = now - self.read_at
        self.read_at = now
        for entry in page.entries:
            if entry.revision:
                self.entries[entry.key] = self.reduce(entry)
            else:
                self.entries.pop(entry.key, None)
        self.revision = max(self.revision, page.revision)
        self.changed_revision = max(
            self.changed_revision, page.changed_revision
        )
        if page.entries:
            self.on_change(self)
        self.confirm(sent_at)
        self.note_answer(page, sent_at=sent_at, waited=seconds)
        return page

    def note_answer(self, page, *, sent_at, waited):
        """Note what the answer to a watch proves.

        Parameters
        ----------
        page : Page
        sent_at : float
            Time on the clock at which the watch was sent.
        waited : float
            Seconds for which it was to wait.
        """
        now = self.clock()
        self.has_changed = bool(page.entries)
        if page.entries:
            self.prove(now - estimate_answer_age(stall=self.measure_stall()))
        elif now - sent_at >= waited:
            # The store would have answered a change at once.
            self.prove(sent_at + waited)
        else:
            return
        self.answered_at = now
