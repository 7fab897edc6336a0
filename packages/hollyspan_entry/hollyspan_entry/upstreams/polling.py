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

EVENT_SECONDS = 10.0


@contextlib.contextmanager
def open_upstreams(runtime):
    """Poll health, load and cache events of the own data centre.

    Upstreams that are unreachable from here are polled by this daemon too,
    those of other data centres included.

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
        (build_event_poll(cursors), timing.load_poll, is_near_engine),
    )
    with contextlib.ExitStack() as stack:
        for poll, seconds, is_due in polls:
            stack.enter_context(
                open_periodic(
                    build_round(runtime, poll, is_due=is_due),
                    seconds=seconds,
                    reactor=runtime.reactor,
                )
            )
        yield


def build_round(runtime, poll, *, is_due):
    """Return a coroutine function that polls the upstreams together."""

    async def run_round():
        await defer.DeferredList(
            [
                defer.ensureDeferred(guard(poll, runtime, upstream))
                for upstream in list(runtime.upstreams.by_name.values())
                if is_due(runtime, upstream)
            ]
        )

    return run_round


def is_polled(runtime, upstream):
    """Return whether this daemon has to poll an upstream.

    The owner of an upstream polls it and tells the others of its data
    centre. Each daemon finds out itself when an upstream that has failed,
    a plain service of another data centre included, is back.
    """
    return is_owned(runtime, upstream) or not upstream.reachable


def is_polled_engine(runtime, upstream):
    """Return whether this daemon has to poll the load of an upstream."""
    return upstream.kind == "engine" and is_polled(runtime, upstream)


def is_near_engine(runtime, upstream):
    """Return whether an upstream is an engine of the own data centre."""
    is_near = upstream.data_centre == runtime.settings.data_centre
    return upstream.kind == "engine" and is_near


def is_owned(runtime, upstream):
    """Return whether this daemon owns an upstream, as far as is known."""
    if upstream.data_centre != runtime.settings.data_centre:
        return False
    owner = runtime.owners.find(upstream)
    return owner in (None, runtime.settings.instance)


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
        upstream.observe_report(
            waiting=waiting, running=running, now=time.monotonic()
        )


def build_event_poll(cursors):
    """Return the poll of cache events; `cursors` holds their numbers.

    Each daemon needs them for its own table of prefixes, but those of
    upstreams that it does not own less often.
    """
    due = {}

    async def poll_events(runtime, upstream):
        now = time.monotonic()
        if not is_owned(runtime, upstream) and now < due.get(upstream.name, 0):
            return
        due[upstream.name] = now + EVENT_SECONDS
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
