"""Choice of an instance of a plain service."""

import time

from hollyspan_policy.admission import decide_admission
from hollyspan_policy.routing import choose_least_loaded

__all__ = ["choose_instance"]


def choose_instance(state, request, *, tried):
    """Choose an instance of a service, preferring the local data centre.

    Parameters
    ----------
    state : OnlineState
    request : ServiceRequest
    tried : set of str
        Names of the instances that this request was already sent to.

    Returns
    -------
    tuple of (Upstream or None, Admission)
        The upstream is None when no instance can meet the deadline.
    """
    runtime = state.runtime
    now = time.monotonic()
    views = [
        upstream.build_view(now=now)
        for upstream in runtime.upstreams.list_by_service(request.service)
        if upstream.name not in tried
    ]
    usable = [view for view in views if view.serving]
    local_data_centre = runtime.settings.data_centre
    local = [view for view in usable if view.data_centre == local_data_centre]
    decision = decide_admission(
        local or usable,
        service_seconds=state.get_service_seconds(request.service),
        deadline_seconds=max(0.0, request.deadline - now),
    )
    if not decision.admitted:
        return None, decision
    view = choose_least_loaded(local or usable)
    return runtime.upstreams.by_name[view.name], decision
