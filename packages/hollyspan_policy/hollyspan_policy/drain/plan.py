"""What to do when at a planned stop."""

from .action import DrainAction

__all__ = ["plan_drain"]


def plan_drain(view, *, notice_seconds, limit_seconds):
    """Plan what a stopping daemon does now.

    Parameters
    ----------
    view : DrainView
    notice_seconds : float
        Time that the balancer needs to notice that the daemon is not
        ready.
    limit_seconds : float
        Time after which requests that still run are given up.

    Returns
    -------
    list of DrainAction
        All that can be done at this moment, in order. ``ACCEPT``: new
        requests are still taken. ``WAIT``: requests in flight go on.

    Notes
    -----
    Batch work stops first: its claims are released while the notice time
    runs, so that other daemons go on at once. A daemon exits only when
    nothing is left, or at the limit.

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
    if not view.peers_told:
        actions.append(DrainAction.TELL_PEERS)
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
