"""Limits of upstreams, as gateways tell them to each other."""

__all__ = ["apply_limits", "is_limited"]


def is_limited(upstream):
    """Return whether an upstream has a rate limit or a pace."""
    return (
        upstream.rate_limit.per_second is not None
        or upstream.pace.allowed is not None
    )


def apply_limits(placement, upstream, load):
    """Apply what a peer has told of an upstream's rate limit and pace.

    Parameters
    ----------
    placement : Placement
    upstream : Upstream
    load : UpstreamLoad or UpstreamTotal
    """
    if load.limit is not None:
        placement.rate_limits.apply_report(upstream, load.limit)
    placement.paces.apply_report(upstream, load)
