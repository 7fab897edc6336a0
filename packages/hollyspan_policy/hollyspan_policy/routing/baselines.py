"""Plain routing rules that the choice is compared with."""

__all__ = ["ROUTING_POLICIES", "choose_least_loaded"]

ROUTING_POLICIES = ("affinity", "least_load")


def choose_least_loaded(views, *, excluded=()):
    """Choose the upstream with the fewest streams for its slots.

    Parameters
    ----------
    views : iterable of UpstreamView
    excluded : collection of str, optional
        Upstreams tried already.

    Returns
    -------
    UpstreamView or None
        None when no upstream can be used.
    """
    usable = [
        view for view in views if view.serving and view.name not in excluded
    ]

    def rank(view):
        return ((view.online + view.batch) / view.slots, view.name)

    return min(usable, key=rank, default=None)
