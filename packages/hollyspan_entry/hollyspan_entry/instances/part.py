"""Polling of the platform's instance list."""

import contextlib
import time

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from hollyspan_core.errors import InstanceListError
from hollyspan_core.errors import IntakeExceededError

from ..intake import collect_body
from ..intake.limits import CONTROL_KEPT
from ..intake.limits import INSTANCE_LIST
from ..runtime import open_periodic
from .reader import parse_slices
from .registration import Registration

__all__ = ["open_instances"]

ENDPOINT_SLICES_PATH = "/apis/discovery.k8s.io/v1/endpointslices"
REQUEST_TIMEOUT_S = 5.0
# Limit for the instance list's share of a daemon's control traffic.
MAX_LIST_BYTES_PER_SECOND = 4_000


@contextlib.contextmanager
def open_instances(runtime):
    """Synchronise the registry of upstreams with the instance list.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    Registration

    Notes
    -----
    While the list is unreachable, the current upstreams are kept. The polling
    interval grows with the size of the list, to bound its traffic.
    """
    registration = Registration(runtime=runtime)
    timing = runtime.settings.timing
    runtime.upstreams.leaving_listeners.append(build_announcer(runtime))
    runtime.configurations.subscribe(lambda _: registration.update_slots())

    async def poll():
        content = await fetch_list(runtime)
        endpoints = parse_slices(content)
        registration.apply(endpoints, now=time.monotonic())
        return choose_interval(len(content), shortest=timing.instances_poll)

    with open_periodic(
        poll, seconds=timing.instances_poll, reactor=runtime.reactor
    ):
        yield registration


def build_announcer(runtime):
    def announce(upstream):
        runtime.departures.announce(
            upstream.name,
            now=time.monotonic(),
            endpoint=upstream.url,
        )

    return announce


def choose_interval(size, *, shortest):
    return max(shortest, size / MAX_LIST_BYTES_PER_SECOND)


async def fetch_list(runtime):
    url = runtime.settings.instances_url + ENDPOINT_SLICES_PATH
    work = defer.ensureDeferred(fetch(url, agent=runtime.agent))
    work.addTimeout(REQUEST_TIMEOUT_S, runtime.reactor)
    try:
        return await work
    except (
        defer.TimeoutError,
        error.ConnectError,
        error.ConnectionLost,
        error.ConnectionDone,
        error.ConnectingCancelledError,
        client.ResponseFailed,
    ) as failure:
        raise InstanceListError(
            "the instance list cannot be reached"
        ) from failure
    except IntakeExceededError as failure:
        raise InstanceListError(failure.message) from failure


async def fetch(url, *, agent):
    response = await agent.request(b"GET", url.encode())
    content = await collect_body(
        response, limits=INSTANCE_LIST, budget=CONTROL_KEPT, sender=url
    )
    if response.code != 200:
        raise InstanceListError(
            f"the instance list answered {response.code}, "
            f"{len(content)} bytes"
        )
    return content
