"""Choice of the instance of a plain service."""

import time

from hollyspan_policy.admission import decide_admission
from hollyspan_policy.routing import choose_least_loaded

__all__ = ["choose_service"]


def choose_service(state, request, *, tried):
    """Choose an instance of a service, in the own data centre first.

    Parameters
    ----------
    state : OnlineState
    request : ServiceRequest
    tried : set of str

    Returns
    -------
    tuple of (Upstream or None, Admission)
        None when no instance makes the deadline.
    """
    runtime = state.runtime
    now = time.monotonic()
    views = [
        upstream.build_view(now=now)
        for upstream in runtime.upstreams.list_for(request.service)
        if upstream.name not in tried
    ]
    usable = [view for view in views if view.serving]
    own = runtime.settings.data_centre
    near = [view for view in usable if view.data_centre == own]
    verdict = decide_admission(
        near or usable,
        service_seconds=state.get_service_seconds(request.service),
        deadline_seconds=max(0.0, request.deadline - now),
    )
    if not verdict.admitted:
        return None, verdict
    view = choose_least_loaded(near or usable)
    return runtime.upstreams.by_name[view.name], verdict
