"""Choice of the upstream for one attempt."""

import math
import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import OverloadedError
from hollyspan_policy.admission import decide_admission
from hollyspan_policy.membership import MemberState
from hollyspan_policy.routing import choose_least_loaded
from hollyspan_policy.routing import choose_upstream

__all__ = ["build_refusal", "choose", "choose_or_try"]

NO_UPSTREAM_RETRY_SECONDS = 2.0
REACTING_STATES = (MemberState.LIVE, MemberState.LEAVING)


def choose_or_try(state, request, *, tried):
    """Choose an upstream; when none can be reached, one of these.

    One missed health check is enough for an upstream to count as unreachable,
    and all can miss one at the same moment. An attempt then finds out sooner
    than the next check.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    tried : set of str
        Upstreams that attempts of this request went to.

    Returns
    -------
    tuple of (Upstream or None, Admission)
        See `choose`.
    """
    upstream, verdict = choose(state, request, tried=tried)
    if upstream is None and math.isinf(verdict.expected_wait):
        return choose(state, request, tried=tried, with_unreachable=True)
    return upstream, verdict


def choose(state, request, *, tried, with_unreachable=False):
    """Choose an upstream of the own data centre.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    tried : set of str
        Upstreams that attempts of this request went to.
    with_unreachable : bool, optional
        Also those that count as unreachable.

    Returns
    -------
    tuple of (Upstream or None, Admission)
        None when no upstream makes the deadline.
    """
    runtime = state.runtime
    now = time.monotonic()
    upstreams = runtime.upstreams.list_for(
        request.service, data_centre=runtime.settings.data_centre
    )
    views = [
        upstream.build_view(
            now=now, batch_yields=is_yielding(runtime, upstream, now=now)
        )
        for upstream in upstreams
        if upstream.name not in tried
    ]
    if with_unreachable:
        for view in views:
            view.serving = not runtime.upstreams.by_name[view.name].leaving
    seconds = state.get_service_seconds(request.service)
    verdict = decide_admission(
        views,
        service_seconds=seconds,
        deadline_seconds=max(0.0, request.deadline - now - seconds),
    )
    if not verdict.admitted:
        return None, verdict
    if read_routing(runtime, request) == "least_load":
        view = choose_least_loaded(views)
    else:
        view = choose_upstream(
            views,
            blocks=request.blocks,
            affinity=runtime.affinity,
            seed=request.identifier,
            service_seconds=seconds,
        )
    return runtime.upstreams.by_name[view.name], verdict


def is_yielding(runtime, upstream, *, now):
    """Tell whether the owner of an upstream can be counted on."""
    owner = runtime.owners.find(upstream)
    if owner in (None, runtime.settings.instance):
        return True
    return runtime.members.find_state(owner, now=now) in REACTING_STATES


def read_routing(runtime, request):
    return runtime.configurations.current.get(
        "online.routing",
        scope=Scope(
            service=request.service,
            data_centre=runtime.settings.data_centre,
        ),
        now=time.time(),
    )


def build_refusal(verdict):
    """Return the error for a request that is not taken in."""
    reason = "no upstream has room within the deadline"
    if math.isinf(verdict.expected_wait):
        reason = "no upstream can be reached"
    return OverloadedError(
        reason,
        retry_after=verdict.retry_after or NO_UPSTREAM_RETRY_SECONDS,
    )
