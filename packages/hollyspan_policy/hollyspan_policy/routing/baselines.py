"""Baseline routing rules for comparison with the default policy."""

__all__ = ["ROUTING_POLICIES", "choose_least_loaded"]

ROUTING_POLICIES = ("affinity", "least_load")


def choose_least_loaded(views, *, excluded=()):
    """Choose the upstream with the fewest streams per slot.

    Parameters
    ----------
    views : iterable of UpstreamView
    excluded : collection of str, optional
        Upstreams that were already tried.

    Returns
    -------
    UpstreamView or None
        None when no upstream is usable.
    """
    usable = [
        view for view in views if view.serving and view.name not in excluded
    ]

    def rank(view):
        return ((view.online + view.batch) / view.slots, view.name)

    return min(usable, key=rank, default=None)
