"""Choice of the upstream for an attempt."""

import math
import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import OverloadedError
from hollyspan_policy.admission import decide_admission
from hollyspan_policy.membership import MemberState
from hollyspan_policy.routing import choose_least_loaded
from hollyspan_policy.routing import choose_upstream

__all__ = [
    "build_overload_error",
    "choose_local_upstream",
    "choose_with_fallback",
]

NO_UPSTREAM_RETRY_AFTER_S = 2.0
RESPONSIVE_STATES = (MemberState.LIVE, MemberState.LEAVING)


def choose_with_fallback(state, request, *, tried):
    """Choose an upstream, falling back to those marked unreachable.

    A single failed health check marks an upstream as unreachable, and all of
    them can fail one at the same time. In that case an attempt detects a
    recovery sooner than the next health check.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    tried : set of str
        Names of the upstreams that this request was already sent to.

    Returns
    -------
    tuple of (Upstream or None, Admission)
        See `choose_local_upstream`.
    """
    upstream, decision = choose_local_upstream(state, request, tried=tried)
    if upstream is None and math.isinf(decision.expected_wait):
        return choose_local_upstream(
            state, request, tried=tried, include_unreachable=True
        )
    return upstream, decision


def choose_local_upstream(state, request, *, tried, include_unreachable=False):
    """Choose an upstream of the local data centre.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    tried : set of str
        Names of the upstreams that this request was already sent to.
    include_unreachable : bool, optional
        Also consider upstreams that are marked unreachable.

    Returns
    -------
    tuple of (Upstream or None, Admission)
        The upstream is None when none can meet the deadline.
    """
    runtime = state.runtime
    now = time.monotonic()
    upstreams = runtime.upstreams.list_by_service(
        request.service, data_centre=runtime.settings.data_centre
    )
    views = [
        upstream.build_view(
            now=now,
            batch_yields=is_owner_responsive(runtime, upstream, now=now),
        )
        for upstream in upstreams
        if upstream.name not in tried
    ]
    if include_unreachable:
        for view in views:
            view.serving = not runtime.upstreams.by_name[view.name].leaving
    seconds = state.get_service_seconds(request.service)
    decision = decide_admission(
        views,
        service_seconds=seconds,
        deadline_seconds=max(0.0, request.deadline - now - seconds),
    )
    if not decision.admitted:
        return None, decision
    if get_routing_policy(runtime, request) == "least_load":
        view = choose_least_loaded(views)
    else:
        view = choose_upstream(
            views,
            blocks=request.blocks,
            affinity=runtime.affinity,
            seed=request.identifier,
            service_seconds=seconds,
        )
    return runtime.upstreams.by_name[view.name], decision


def is_owner_responsive(runtime, upstream, *, now):
    """Return whether the owner of an upstream is live or leaving."""
    owner = runtime.owners.find(upstream)
    if owner in (None, runtime.settings.instance):
        return True
    return runtime.members.find_state(owner, now=now) in RESPONSIVE_STATES


def get_routing_policy(runtime, request):
    """Return the configured routing policy for a request."""
    return runtime.configurations.current.get(
        "online.routing",
        scope=Scope(
            service=request.service,
            data_centre=runtime.settings.data_centre,
        ),
        now=time.time(),
    )


def build_overload_error(decision):
    """Return the error for a request that is not admitted."""
    reason = "no upstream has capacity within the deadline"
    if math.isinf(decision.expected_wait):
        reason = "no upstream can be reached"
    return OverloadedError(
        reason,
        retry_after=decision.retry_after or NO_UPSTREAM_RETRY_AFTER_S,
    )
