"""Polling of the health, load and cache events of upstreams."""

import contextlib
import time

from twisted.internet import defer

from hollyspan_core.errors import DocumentInvalidError
from hollyspan_core.errors import UpstreamUnavailableError

from ..intake.limits import CACHE_EVENTS
from ..intake.limits import STATE_REPORT
from ..runtime import open_periodic
from .call import fetch_json
from .state import LEAVING
from .state import mark_unreachable

__all__ = ["open_upstreams"]

OTHER_OWNER_EVENT_POLL_INTERVAL_S = 10.0
# Hexadecimal digits of 64 bits.
BLOCK_DIGITS = 16


@contextlib.contextmanager
def open_upstreams(runtime):
    """Poll health, load and cache events of the local data centre.

    This daemon also polls the upstreams that it cannot reach, including
    those of other data centres.

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
        (poll_health, timing.health_poll, is_polled),
        (poll_load, timing.load_poll, is_polled_engine),
        (build_event_poll(cursors), timing.load_poll, is_local_engine),
    )
    with contextlib.ExitStack() as stack:
        for poll, seconds, is_due in polls:
            stack.enter_context(
                open_periodic(
                    build_poll_round(runtime, poll, is_due=is_due),
                    seconds=seconds,
                    reactor=runtime.reactor,
                )
            )
        yield


def build_poll_round(runtime, poll, *, is_due):
    """Return a coroutine function that polls all due upstreams at once."""

    async def poll_due_upstreams():
        await defer.DeferredList(
            [
                defer.ensureDeferred(
                    poll_ignoring_unavailable(poll, runtime, upstream)
                )
                for upstream in list(runtime.upstreams.by_name.values())
                if is_due(runtime, upstream)
            ]
        )

    return poll_due_upstreams


def is_polled(runtime, upstream):
    """Return whether this daemon polls an upstream.

    The owner of an upstream polls it and reports the state to the other
    daemons of its data centre. Each daemon detects the recovery of a failed
    upstream itself, including plain services of other data centres.
    """
    return is_owned(runtime, upstream) or not upstream.reachable


def is_polled_engine(runtime, upstream):
    """Return whether this daemon polls the load of an upstream."""
    return upstream.kind == "engine" and is_polled(runtime, upstream)


def is_local_engine(runtime, upstream):
    """Return whether an upstream is an engine of the local data centre."""
    is_local = upstream.data_centre == runtime.settings.data_centre
    return upstream.kind == "engine" and is_local


def is_owned(runtime, upstream):
    """Return whether this daemon owns an upstream or no owner is known."""
    if upstream.data_centre != runtime.settings.data_centre:
        return False
    owner = runtime.owners.find(upstream)
    return owner in (None, runtime.settings.instance)


async def poll_ignoring_unavailable(poll, runtime, upstream):
    """Poll an upstream, ignoring that it is unavailable."""
    try:
        await poll(runtime, upstream)
    except UpstreamUnavailableError:
        return


async def fetch(runtime, upstream, path, *, limits=STATE_REPORT):
    """Get a JSON object from an upstream within the connect timeout."""
    return await fetch_json(
        runtime=runtime,
        upstream=upstream,
        path=path,
        timeout=runtime.settings.timing.connect_timeout,
        limits=limits,
    )


async def poll_health(runtime, upstream):
    """Update whether an upstream is reachable and whether it is leaving."""
    try:
        content = await fetch(runtime, upstream, "/health")
    except UpstreamUnavailableError:
        mark_unreachable(upstream)
        return
    if content.get("state") == LEAVING:
        runtime.upstreams.mark_leaving(upstream.name)


async def poll_load(runtime, upstream):
    """Fetch the load report of an engine."""
    content = await fetch(runtime, upstream, "/v1/load")
    waiting = content.get("waiting")
    running = content.get("running")
    if isinstance(waiting, int) and isinstance(running, int):
        upstream.observe_report(
            waiting=waiting, running=running, now=time.monotonic()
        )


def build_event_poll(cursors):
    """Return the coroutine function that polls cache events.

    Each daemon polls the events of all local engines for its own table of
    prefixes, but less often for engines that it does not own. `cursors`
    holds the number of the last event by upstream.
    """
    next_poll_at = {}

    async def poll_events(runtime, upstream):
        now = time.monotonic()
        if not is_owned(runtime, upstream) and now < next_poll_at.get(
            upstream.name, 0
        ):
            return
        next_poll_at[upstream.name] = now + OTHER_OWNER_EVENT_POLL_INTERVAL_S
        after = cursors.get(upstream.name, 0)
        content = await fetch(
            runtime,
            upstream,
            f"/v1/cache/events?after={after}",
            limits=CACHE_EVENTS,
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
    """Apply a cache event to the table; ignore a malformed event."""
    try:
        block = read_block(event["block"])
        kind = event["kind"]
    except (DocumentInvalidError, KeyError, TypeError, ValueError):
        return
    if kind == "stored":
        affinity.add(upstream, [block])
    elif kind == "evicted":
        affinity.remove(upstream, [block])


def read_block(text):
    """Return the hash of a block, which the table of prefixes keeps."""
    if len(text) > BLOCK_DIGITS:
        raise DocumentInvalidError("the hash of a block is too long")
    return int(text, 16)
