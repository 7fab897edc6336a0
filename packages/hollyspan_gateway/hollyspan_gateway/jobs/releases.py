"""Release of the waiting tokens of items that have ended."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import RecordUnreadableError
from hollyspan_core.errors import StoreUnavailableError

from ..clock import wait
from .quota_records import build_release_key
from .quota_records import build_releases_key
from .quota_records import decode_releases
from .quota_records import encode_releases
from .records import build_end_key
from .records import build_result_key
from .records import build_results_prefix
from .records import encode_result
from .records import read_result_item

__all__ = ["ReleaseWriter"]

STORE_RETRY_DELAY_S = 0.3
# With the end marks of their jobs and the counter, the results of one write
# stay below the 32 keys that the store accepts.
MAX_RELEASES_PER_WRITE = 10


class Release:
    """A key to create and the tokens that its creation releases.

    Parameters
    ----------
    key : str
    content : bytes
    end_key : str or None
        Key that must not exist for the tokens to be released here.
    reservation : Reservation
    tokens : int

    Attributes
    ----------
    stored : Deferred
        Fires once the key exists, with True if this write has created it.
    """

    __slots__ = (
        "key",
        "content",
        "end_key",
        "reservation",
        "tokens",
        "stored",
    )

    def __init__(self, *, key, content, end_key, reservation, tokens):
        self.key = key
        self.content = content
        self.end_key = end_key
        self.reservation = reservation
        self.tokens = tokens
        self.stored = defer.Deferred()


class Counter:
    """Tokens by share that this gateway has released for a route.

    Attributes
    ----------
    revision : int
        Revision of its key, 0 before the first write.
    released : dict
        Tokens by index of the share.
    """

    __slots__ = ("revision", "released")

    def __init__(self):
        self.revision = 0
        self.released = {}

    def add(self, releases):
        """Return the tokens by share after some more releases."""
        released = dict(self.released)
        for release in releases:
            share = release.reservation.share
            released[share] = released.get(share, 0) + release.tokens
        return released


class ReleaseWriter:
    """Stores results and the tokens that they release in one transaction.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    queue : list of Release
        Not stored yet, in order of arrival.
    counters : dict
        Counter by quota; only this gateway writes them.

    Notes
    -----
    The tokens of an item are released by the creation of its result, which
    happens once, whichever gateways have run the item and however often a
    reply was lost. The result of an item whose job has ended releases
    nothing: all tokens of such a job that were not released before the end
    are released together by `release_rest`. The writes of one gateway follow
    one another, since each carries the sum of all releases so far.
    """

    __slots__ = ("gateway", "queue", "counters", "is_writing")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.queue = []
        self.counters = {}
        self.is_writing = False

    async def store_result(self, state):
        """Store the result of an item and release its tokens.

        Parameters
        ----------
        state : ItemState
            Its `result` is set and its job has a reservation.

        Returns
        -------
        bool
            False when the item had a result before.
        """
        job = state.job_state.job
        return await self.write(
            Release(
                key=build_result_key(job.identifier, state.item.identifier),
                content=encode_result(state.result),
                end_key=build_end_key(job.identifier),
                reservation=job.reservation,
                tokens=state.item.tokens,
            )
        )

    async def release_rest(self, job, *, end_revision):
        """Release what the items of an ended job have not released.

        Parameters
        ----------
        job : Job
            With a reservation.
        end_revision : int
            Revision at which the job was ended.

        Raises
        ------
        RecordUnreadableError
            The record cannot be read, which holds the tokens of items that
            are not kept.
        StoreUnavailableError
            The results cannot be read now.
        """
        prefix = build_results_prefix(job.identifier)
        page = await self.gateway.store.list(prefix)
        released = {
            read_result_item(entry.key)
            for entry in page.entries
            if entry.created_revision < end_revision
        }
        items = job.items
        if len(items) < job.item_count and len(released) < job.item_count:
            # Some results were stored after the end, which releases nothing.
            record = await self.gateway.bodies.read_job(job.identifier)
            items = [] if record is None else record.items
        tokens = sum(
            item.tokens for item in items if item.identifier not in released
        )
        is_new = await self.write(
            Release(
                key=build_release_key(job.reservation.quota, job.identifier),
                content=b"",
                end_key=None,
                reservation=job.reservation,
                tokens=tokens,
            )
        )
        eliot.log_message(
            "job:released", job=job.identifier, tokens=tokens, is_new=is_new
        )

    def write(self, release):
        """Queue a release; return a Deferred that fires once it is stored."""
        self.queue.append(release)
        if not self.is_writing:
            self.is_writing = True
            defer.ensureDeferred(self.write_queue()).addErrback(
                eliot.write_failure
            )
        return release.stored

    async def write_queue(self):
        try:
            while self.queue:
                quota = self.queue[0].reservation.quota
                releases = [
                    release
                    for release in self.queue
                    if release.reservation.quota == quota
                ][:MAX_RELEASES_PER_WRITE]
                try:
                    await self.write_releases(quota, releases)
                except (
                    RecordUnreadableError,
                    StoreUnavailableError,
                ) as error:
                    eliot.log_message(
                        "release:waits",
                        count=len(self.queue),
                        reason=error.message,
                    )
                    await wait(self.gateway.reactor, STORE_RETRY_DELAY_S)
                    # Those of other quotas come first.
                    self.queue.sort(
                        key=lambda release: release.reservation.quota == quota
                    )
        finally:
            self.is_writing = False

    async def write_releases(self, quota, releases):
        """Store some releases, or update what the next attempt is based on."""
        key = build_releases_key(quota, self.gateway.settings.instance)
        counter = self.counters.setdefault(quota, Counter())
        released = counter.add(releases)
        contents = {release.key: release.content for release in releases}
        expected = dict.fromkeys(contents, 0)
        for release in releases:
            if release.end_key is not None:
                expected[release.end_key] = 0
        contents[key] = encode_releases(released)
        expected[key] = counter.revision
        commit = await self.gateway.store.change(contents, expected)
        if commit.succeeded:
            counter.released = released
            counter.revision = commit.revision or commit.found[key].revision
            for release in releases:
                self.finish(release, is_new=True)
            return
        entry = commit.found.get(key)
        if entry is None:
            # It was removed, or its creation has failed.
            counter.revision = 0
        elif entry.revision != counter.revision:
            # From before a restart, or a write whose reply was lost.
            counter.released = decode_releases(entry.content)
            counter.revision = entry.revision
        for release in releases:
            if release.key in commit.found:
                self.finish(release, is_new=False)
            elif release.end_key in commit.found:
                release.end_key = None
                release.tokens = 0

    def finish(self, release, *, is_new):
        self.queue.remove(release)
        release.stored.callback(is_new)
