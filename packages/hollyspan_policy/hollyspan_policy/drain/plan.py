"""Order of the steps of a planned shutdown."""

from .action import DrainAction

__all__ = ["plan_drain"]


def plan_drain(view, *, notice_seconds, limit_seconds):
    """Plan the next steps of a daemon that shuts down.

    Parameters
    ----------
    view : DrainView
    notice_seconds : float
        Time that the load balancer needs to notice that the daemon is not
        ready.
    limit_seconds : float
        Time after which requests in flight are abandoned.

    Returns
    -------
    list of DrainAction
        All steps that are possible now, in order. ``ACCEPT``: new requests
        are still accepted. ``WAIT``: requests in flight continue.

    Notes
    -----
    Batch work stops first. Its claims are released during the notice time,
    so that other daemons can continue the work immediately. A daemon exits
    only when no work is left, or at the limit.

    Examples
    --------
    >>> from hollyspan_policy.drain import DrainView
    >>> view = DrainView(elapsed=0.0)
    >>> [action.value for action in plan_drain(
    ...     view, notice_seconds=2.0, limit_seconds=60.0
    ... )]
    ['tell_peers', 'accept']
    """
    if view.elapsed >= limit_seconds:
        return [DrainAction.EXIT]
    actions = []
    if not view.peers_notified:
        actions.append(DrainAction.NOTIFY_PEERS)
    if view.batch:
        actions.append(DrainAction.STOP_BATCH)
    elif view.claims:
        actions.append(DrainAction.RELEASE_CLAIMS)
    if view.elapsed < notice_seconds:
        return [*actions, DrainAction.ACCEPT]
    if view.idle_connections:
        actions.append(DrainAction.CLOSE_IDLE)
    if view.online:
        actions.append(DrainAction.WAIT)
    return actions or [DrainAction.EXIT]
