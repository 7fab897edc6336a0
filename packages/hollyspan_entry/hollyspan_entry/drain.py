"""Planned stop of the daemon."""

import time

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import InstanceStoppedError

from .stopping import LAST_ANSWERS_S

__all__ = ["drain"]

POLL_INTERVAL_S = 0.05
# Time without a new connection after which the balancer has reacted: several
# times that between requests of a busy balancer.
QUIET_S = 0.2


async def drain(runtime, *, site, port):
    """Finish running requests and release claimed work.

    Parameters
    ----------
    runtime : Runtime
    site : DrainingSite
    port : IListeningPort

    Notes
    -----
    The daemon immediately reports to the load balancer and its peers that it
    is leaving. It accepts requests for another `drain_notice` seconds, so that
    the balancer can react, and for up to as long again while new connections
    come. Then it refuses new ones and closes idle ones. Requests in flight
    are finished while the drain hooks of the parts run. After `drain_limit`
    seconds those that are left are ended with an unknown outcome, and an
    answer that has begun is broken off. A request that may last longer than
    that is refused as soon as the stop has begun.
    """
    timing = runtime.settings.timing
    runtime.draining = True
    # The stop does not end earlier; it ends later while connections come.
    runtime.stops_at = (
        time.monotonic() + timing.drain_notice + timing.drain_limit
    )
    for listener in runtime.drain_listeners:
        listener()
    eliot.log_message(message_type="daemon:drain")
    site.is_closing = True
    await task.deferLater(runtime.reactor, timing.drain_notice)
    await wait_until_quiet(runtime, site, seconds=timing.drain_notice)
    await accept_waiting(runtime, site, seconds=QUIET_S)
    await port.stopListening()
    # The last connections have not brought their first request yet.
    await task.deferLater(runtime.reactor, QUIET_S)
    site.close_idle()
    steps = [finish_requests(runtime, site)]
    steps.extend(hook() for hook in runtime.drain_hooks)
    await run_steps(runtime, steps, seconds=timing.drain_limit)
    await end_requests(runtime, site)


async def wait_until_quiet(runtime, site, *, seconds):
    """Wait until no new connection comes, at most for some seconds."""
    deadline = runtime.reactor.seconds() + seconds
    accepted = None
    while site.accepted != accepted and runtime.reactor.seconds() < deadline:
        accepted = site.accepted
        await task.deferLater(runtime.reactor, QUIET_S)
        # A process that stood still has to accept what came in the meantime.
        await task.deferLater(runtime.reactor, POLL_INTERVAL_S)


async def accept_waiting(runtime, site, *, seconds):
    """Accept the connections that the kernel has, at most for some seconds.

    The end of listening resets them. They come while the loop is held; each
    turn accepts some, after the timers.
    """
    deadline = runtime.reactor.seconds() + seconds
    accepted = None
    while site.accepted != accepted and runtime.reactor.seconds() < deadline:
        accepted = site.accepted
        await task.deferLater(runtime.reactor, 0)


async def run_steps(runtime, steps, *, seconds):
    running = [defer.ensureDeferred(guard(step)) for step in steps]
    work = defer.DeferredList(running)
    work.addTimeout(seconds, runtime.reactor)
    try:
        await work
    except defer.TimeoutError:
        eliot.log_message(message_type="daemon:drain-limit", seconds=seconds)


async def guard(step):
    """Run a step; a failure is logged and does not stop the other steps."""
    try:
        await step
    except defer.CancelledError:
        return
    except Exception:
        eliot.write_traceback()


async def end_requests(runtime, site):
    """Give the requests that are left their final answers."""
    count = site.end_requests(build_stop_error)
    if not count:
        return
    eliot.log_message(message_type="daemon:ended-requests", count=count)
    deadline = runtime.reactor.seconds() + LAST_ANSWERS_S
    while site.connections and runtime.reactor.seconds() < deadline:
        site.close_idle()
        await task.deferLater(runtime.reactor, POLL_INTERVAL_S)


def build_stop_error():
    return InstanceStoppedError("this instance stops before the answer came")


async def finish_requests(runtime, site):
    started = time.monotonic()
    while site.connections:
        site.close_idle()
        await task.deferLater(runtime.reactor, POLL_INTERVAL_S)
    eliot.log_message(
        message_type="daemon:drained", seconds=time.monotonic() - started
    )
