"""Planned shutdown of the job runner."""

import time

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import HollyspanError

from ..state import touch_queue
from .maintenance import release_chunk

__all__ = ["drain_runner"]

POLL_INTERVAL_S = 0.05
RELEASE_TIMEOUT_S = 10.0


async def drain_runner(runner):
    """Release all chunks, so that other daemons can claim them at once.

    Parameters
    ----------
    runner : JobRunner
        A runner that starts no more items.

    Notes
    -----
    Running items have the drain notice time to finish. Items that must not
    run twice have half of the drain limit in addition.
    """
    timing = runner.runtime.settings.timing
    await wait_for_runs(runner, seconds=timing.drain_notice)
    await wait_for_runs(
        runner, seconds=timing.drain_limit / 2, idempotent=False
    )
    jobs = {name[0] for name in runner.chunks}
    releases = [
        defer.ensureDeferred(release_chunk(runner, chunk))
        for chunk in list(runner.chunks.values())
        if not chunk.stopped
    ]
    pending = defer.DeferredList(releases, consumeErrors=True)
    pending.addTimeout(RELEASE_TIMEOUT_S, runner.runtime.reactor)
    try:
        await pending
    except defer.TimeoutError:
        eliot.log_message(message_type="jobs:release-timeout")
    await runner.lease.revoke()
    runner.queue.stop()
    for job in jobs:
        try:
            await touch_queue(runner.store, job)
        except HollyspanError as error:
            eliot.log_message(
                message_type="jobs:notice-failed", reason=error.code
            )


async def wait_for_runs(runner, *, seconds, idempotent=True):
    """Wait until no item is running, at most for a number of seconds.

    With `idempotent` False, wait only for items that must not run twice.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if not any(
            idempotent or not run.chunk.record.idempotent
            for slots in runner.slots.values()
            for run in slots.running
        ):
            return
        await task.deferLater(runner.runtime.reactor, POLL_INTERVAL_S)
