"""Local copy of the entries below a prefix."""

import random

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreUnavailableError

from ..clock import wait

__all__ = ["Mirror"]

# Longest wait of one watch, seconds: the store keeps 20 s of history and
# counts each call. A watch that has gone silent is noticed by keep-alive
# probes and by peers before that.
WATCH_S = 15.0
# Wait of a watch while contact is lost, seconds: without a change only its end
# tells that the store is back, and items are run only then.
PROBE_S = 0.5
# Pause after a watch that brought changes, seconds, so that those of the next
# moments come in one answer; doubled while changes keep coming, as when a
# whole fleet registers. The bounds on changes are seconds.
GATHER_S = 0.1
LONGEST_GATHER_S = 0.4
# Pause after a failed call, seconds, doubled up to the longest one: the store
# is asked often enough to notice its return within a second.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8


class Mirror:
    """Follows the entries below a prefix by watching.

    Parameters
    ----------
    store : Store
    reactor : twisted reactor
    prefix : str
    on_change : callable
        Called with the mirror after entries have changed.

    Attributes
    ----------
    entries : dict
        Entry by key.
    revision : int
        Revision of the store that the entries reflect; 0 before the first
        read.
    is_connected : bool
        True while the last call had an answer.
    regained : float or None
        Time of the reactor when the store answered again after a failure.
    """

    def __init__(self, *, store, reactor, prefix, on_change):
        self.store = store
        self.reactor = reactor
        self.prefix = prefix
        self.on_change = on_change
        self.entries = {}
        self.revision = 0
        self.is_connected = False
        self.regained = None
        self.is_stopped = False
        self.must_list = True
        self.pause = FIRST_PAUSE_S
        self.gathering = GATHER_S
        self.work = None

    def start(self):
        """Begin to follow."""
        self.work = defer.ensureDeferred(self.follow())
        self.work.addErrback(self.report_end)

    def stop(self):
        """Stop following."""
        self.is_stopped = True
        if self.work is not None:
            self.work.cancel()

    def refresh(self):
        """Read all entries anew at once, for a peer knows newer ones."""
        if self.must_list or self.is_stopped:
            return
        self.must_list = True
        self.work.cancel()

    def take_over(self, page):
        """Take over a peer's copy if it is newer.

        Parameters
        ----------
        page : Page

        Returns
        -------
        bool
            True when it was newer.
        """
        if page.revision <= self.revision:
            return False
        self.entries = {entry.key: entry for entry in page.entries}
        self.revision = page.revision
        self.on_change(self)
        return True

    def report_end(self, failure):
        if failure.check(defer.CancelledError):
            if not self.is_stopped:
                self.start()
            return
        eliot.write_failure(failure)
        self.reactor.callLater(LONGEST_PAUSE_S, self.start)

    async def follow(self):
        while not self.is_stopped:
            try:
                if self.must_list:
                    await self.read_all()
                    self.note_answer()
                    continue
                began = self.reactor.seconds()
                page = await self.read_changes()
                self.note_answer()
                if page.entries:
                    await wait(
                        self.reactor, self.choose_coalescing_delay(began)
                    )
            except StoreHistoryLostError:
                self.note_answer()
                eliot.log_message(
                    "mirror:history_lost",
                    prefix=self.prefix,
                    revision=self.revision,
                )
                self.must_list = True
            except StoreUnavailableError as failure:
                self.note_failure(failure)
                await wait(self.reactor, self.pause * random.uniform(0.5, 1))
                self.pause = min(LONGEST_PAUSE_S, self.pause * 2)

    def choose_coalescing_delay(self, began):
        """Return the pause after changes, by how soon they came.

        Parameters
        ----------
        began : float
            Time of the reactor at which the watch that brought them began.
        """
        if self.reactor.seconds() - began < self.gathering:
            self.gathering = min(LONGEST_GATHER_S, self.gathering * 2)
        else:
            self.gathering = GATHER_S
        return self.gathering

    def note_answer(self):
        self.pause = FIRST_PAUSE_S
        if not self.is_connected:
            self.is_connected = True
            self.regained = self.reactor.seconds()
            eliot.log_message(
                "mirror:connected", prefix=self.prefix, revision=self.revision
            )

    def note_failure(self, failure):
        if self.is_connected:
            eliot.log_message(
                "mirror:lost",
                prefix=self.prefix,
                revision=self.revision,
                reason=failure.message,
            )
        self.is_connected = False

    async def read_all(self):
        page = await self.store.list(self.prefix)
        self.must_list = False
        if page.revision < self.revision:
            # A peer's copy is newer; the watch goes on from there.
            return
        self.entries = {entry.key: entry for entry in page.entries}
        self.revision = page.revision
        self.on_change(self)

    async def read_changes(self):
        page = await self.store.watch(
            self.prefix,
            after=self.revision,
            seconds=WATCH_S if self.is_connected else PROBE_S,
        )
        for entry in page.entries:
            if entry.revision:
                self.entries[entry.key] = entry
            else:
                self.entries.pop(entry.key, None)
        self.revision = max(self.revision, page.revision)
        if page.entries:
            self.on_change(self)
        return page
