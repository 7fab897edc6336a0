"""Choice of the upstream for one attempt."""

import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import OverloadedError
from hollyspan_policy.admission import decide_admission
from hollyspan_policy.membership import MemberState
from hollyspan_policy.routing import choose_least_loaded
from hollyspan_policy.routing import choose_upstream

__all__ = ["choose"]

NO_UPSTREAM_RETRY_SECONDS = 2.0
REACTING_STATES = (MemberState.LIVE, MemberState.LEAVING)


def choose(state, request, *, tried):
    """Choose an upstream of the own data centre.

    Parameters
    ----------
    state : OnlineState
    request : OnlineRequest
    tried : set of str
        Upstreams that attempts of this request went to.

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
            now=now, yields=is_yielding(runtime, upstream, now=now)
        )
        for upstream in upstreams
        if upstream.name not in tried
    ]
    seconds = state.get_service_seconds(request.service)
    verdict = decide_admission(
        views,
        service_seconds=seconds,
        deadline_seconds=max(0.0, request.deadline - now - seconds),
    )
    if not verdict.accepted:
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
    return OverloadedError(
        "no upstream has room within the deadline",
        retry_after=verdict.retry_after or NO_UPSTREAM_RETRY_SECONDS,
    )
