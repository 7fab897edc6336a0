"""Planned stop of the daemon."""

import time

import eliot
from twisted.internet import defer
from twisted.internet import task

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
    are finished while the drain hooks of the parts run; the remaining work is
    cut off after `drain_limit` seconds.
    """
    timing = runtime.settings.timing
    runtime.draining = True
    for listener in runtime.drain_listeners:
        listener()
    eliot.log_message(message_type="daemon:drain")
    site.is_closing = True
    await task.deferLater(runtime.reactor, timing.drain_notice)
    await wait_until_quiet(runtime, site, seconds=timing.drain_notice)
    await port.stopListening()
    # The last connections have not brought their first request yet.
    await task.deferLater(runtime.reactor, QUIET_S)
    site.close_idle()
    steps = [finish_requests(runtime, site)]
    steps.extend(hook() for hook in runtime.drain_hooks)
    await run_steps(runtime, steps, seconds=timing.drain_limit)


async def wait_until_quiet(runtime, site, *, seconds):
    """Wait until no new connection comes, at most for some seconds."""
    deadline = runtime.reactor.seconds() + seconds
    accepted = None
    while site.accepted != accepted and runtime.reactor.seconds() < deadline:
        accepted = site.accepted
        await task.deferLater(runtime.reactor, QUIET_S)
        # A process that stood still has to accept what came in the meantime.
        await task.deferLater(runtime.reactor, POLL_INTERVAL_S)


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


async def finish_requests(runtime, site):
    started = time.monotonic()
    while site.connections:
        await task.deferLater(runtime.reactor, POLL_INTERVAL_S)
    eliot.log_message(
        message_type="daemon:drained", seconds=time.monotonic() - started
    )
