"""Polling of the state of upstreams."""

import contextlib
import time

from twisted.internet import defer

from hollyspan_core.errors import UpstreamUnavailableError

from ..runtime import open_periodic
from .call import fetch_json
from .state import LEAVING
from .state import note_unreachable

__all__ = ["open_upstreams"]


@contextlib.contextmanager
def open_upstreams(runtime):
    """Poll health, load and cache events of the own data centre.

    Upstreams of other data centres are polled while they are unreachable.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    None
    """
    timing = runtime.settings.timing
    cursors = {}
    polls = (
        (poll_health, timing.health_poll, ("engine", "service")),
        (poll_load, timing.load_poll, ("engine",)),
        (build_event_poll(cursors), timing.load_poll, ("engine",)),
    )
    with contextlib.ExitStack() as stack:
        for poll, seconds, kinds in polls:
            stack.enter_context(
                open_periodic(
                    build_round(runtime, poll, kinds=kinds),
                    seconds=seconds,
                    reactor=runtime.reactor,
                )
            )
        yield


def build_round(runtime, poll, *, kinds):
    """Return a coroutine function that polls the upstreams together."""

    async def run_round():
        await defer.DeferredList(
            [
                defer.ensureDeferred(guard(poll, runtime, upstream))
                for upstream in list(runtime.upstreams.by_name.values())
                if upstream.kind in kinds and is_polled(runtime, upstream)
            ]
        )

    return run_round


def is_polled(runtime, upstream):
    """Return whether an upstream is of the own data centre, or failed.

    A plain service of another data centre may be called from here; once a
    call has failed, polls find out when it is back.
    """
    is_own = upstream.data_centre == runtime.settings.data_centre
    return is_own or not upstream.reachable


async def guard(poll, runtime, upstream):
    """Pass over an upstream that gives no proper answer."""
    try:
        await poll(runtime, upstream)
    except UpstreamUnavailableError:
        return


async def fetch(runtime, upstream, path):
    return await fetch_json(
        runtime=runtime,
        upstream=upstream,
        path=path,
        timeout=runtime.settings.timing.connect_timeout,
    )


async def poll_health(runtime, upstream):
    """Note whether an upstream can be reached and whether it is leaving."""
    try:
        content = await fetch(runtime, upstream, "/health")
    except UpstreamUnavailableError:
        note_unreachable(upstream)
        return
    if content.get("state") == LEAVING:
        runtime.upstreams.mark_leaving(upstream.name)


async def poll_load(runtime, upstream):
    """Take in the load report of an engine."""
    content = await fetch(runtime, upstream, "/v1/load")
    waiting = content.get("waiting")
    running = content.get("running")
    if isinstance(waiting, int) and isinstance(running, int):
        upstream.waiting = waiting
        upstream.running = running
        upstream.reported = time.monotonic()


def build_event_poll(cursors):
    """Return the poll of cache events; `cursors` holds their numbers."""

    async def poll_events(runtime, upstream):
        after = cursors.get(upstream.name, 0)
        content = await fetch(
            runtime, upstream, f"/v1/cache/events?after={after}"
        )
        events = content.get("events")
        position = content.get("next")
        if not isinstance(events, list) or not isinstance(position, int):
            return
        for event in events:
            apply_event(runtime.affinity, upstream.name, event)
        cursors[upstream.name] = position

    return poll_events


def apply_event(affinity, upstream, event):
    """Take in one cache event; malformed ones are passed over."""
    try:
        block = int(event["block"], 16)
        kind = event["kind"]
    except (KeyError, TypeError, ValueError):
        return
    if kind == "stored":
        affinity.add(upstream, [block])
    elif kind == "evicted":
        affinity.remove(upstream, [block])
