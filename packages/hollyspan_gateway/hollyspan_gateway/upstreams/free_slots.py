"""Upstreams that are known to have a free slot."""

__all__ = ["is_free"]


def is_free(placement, upstream):
    """Return whether an upstream has just shown that it could take a request.

    Parameters
    ----------
    placement : Placement
    upstream : Upstream

    Returns
    -------
    bool
    """
    now = placement.reactor.seconds()
    return (
        upstream.has_recent_report(now=now)
        and not upstream.waiting
        and upstream.count_online() + upstream.hidden < upstream.entry.slots
        and not upstream.is_suspect(now=now)
        and not upstream.outlier.periods
        and not placement.is_lost(upstream)
        and upstream.rate_limit.may_send(now=now)
        and placement.paces.has_room(upstream)
    )
