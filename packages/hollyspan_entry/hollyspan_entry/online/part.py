"""Setup of online serving in the daemon."""

import contextlib

from twisted.internet import task

from ..http import add_resource
from ..http import AsyncResource
from .forward_server import build_forward_server
from .handler import build_handler
from .instruments import add_instruments
from .models import build_models_handler
from .reading import CHAT_PATH
from .reading import COMPLETION_PATH
from .state import OnlineState

__all__ = ["open_online"]

DRAIN_POLL_INTERVAL_S = 0.05


@contextlib.contextmanager
def open_online(runtime):
    """Serve requests for models within a context.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    OnlineState
    """
    state = OnlineState(runtime=runtime)
    runtime.online = state
    runtime.configurations.subscribe(build_budget_updater(state))
    add_instruments(state)
    handlers = {
        CHAT_PATH: build_handler(state, CHAT_PATH),
        COMPLETION_PATH: build_handler(state, COMPLETION_PATH),
        "/v1/models": build_models_handler(state),
    }
    for path, handle in handlers.items():
        add_resource(
            runtime.root, path.lstrip("/"), AsyncResource(handle=handle)
        )
    runtime.serve_forward = build_forward_server(state)
    runtime.drain_hooks.append(build_drain_hook(state))
    yield state


def build_budget_updater(state):
    """Return a subscriber that applies the configured retry budget."""

    def update(configuration):
        defaults = configuration.document["defaults"]
        state.budget.ratio = defaults["retry"]["budget_ratio"]

    return update


def build_drain_hook(state):
    """Return a drain hook that waits for the requests in flight.

    The hook waits for at most the drain limit.
    """
    reactor = state.runtime.reactor

    async def wait_for_requests():
        limit = state.runtime.settings.timing.drain_limit
        max_polls = int(limit / DRAIN_POLL_INTERVAL_S)
        for _ in range(max_polls):
            if not state.in_flight and not state.runs:
                return
            await task.deferLater(reactor, DRAIN_POLL_INTERVAL_S)

    return wait_for_requests
