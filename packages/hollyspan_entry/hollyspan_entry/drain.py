"""Planned stop of a daemon."""

import time

import eliot
from twisted.internet import defer
from twisted.internet import task

__all__ = ["drain"]

POLL_SECONDS = 0.05


async def drain(runtime, *, site, port):
    """Finish what runs and give back what is claimed.

    Parameters
    ----------
    runtime : Runtime
    site : DrainingSite
    port : IListeningPort

    Notes
    -----
    The daemon says at once, to the balancer and to its peers, that it is
    leaving; requests are taken for `drain_notice` seconds more, until the
    balancer has noticed. Then new connections are refused and idle ones
    closed. What is in flight is finished while the hooks of the parts run;
    after `drain_limit` seconds the rest is cut off.
    """
    timing = runtime.settings.timing
    runtime.draining = True
    for listener in runtime.drain_listeners:
        listener()
    eliot.log_message(message_type="daemon:drain")
    site.is_closing = True
    await task.deferLater(runtime.reactor, timing.drain_notice)
    await port.stopListening()
    site.close_idle()
    steps = [finish_requests(runtime, site)]
    steps.extend(hook() for hook in runtime.drain_hooks)
    await run_steps(runtime, steps, seconds=timing.drain_limit)


async def run_steps(runtime, steps, *, seconds):
    running = [defer.ensureDeferred(guard(step)) for step in steps]
    work = defer.DeferredList(running)
    work.addTimeout(seconds, runtime.reactor)
    try:
        await work
    except defer.TimeoutError:
        eliot.log_message(message_type="daemon:drain-limit", seconds=seconds)


async def guard(step):
    """Keep one part's failure from ending the stop of the others."""
    try:
        await step
    except defer.CancelledError:
        return
    except Exception:
        eliot.write_traceback()


async def finish_requests(runtime, site):
    started = time.monotonic()
    while site.connections:
        await task.deferLater(runtime.reactor, POLL_SECONDS)
    eliot.log_message(
        message_type="daemon:drained", seconds=time.monotonic() - started
    )
