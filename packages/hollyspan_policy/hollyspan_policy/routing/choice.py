"""Choice of an upstream for one online request."""

__all__ = ["choose_upstream"]


def choose_upstream(views, *, blocks, affinity, excluded=()):
    """Choose the upstream for an online request.

    Parameters
    ----------
    views : iterable of UpstreamView
        The upstreams of one data centre that serve the model.
    blocks : list of int
        Hashes of the prompt's blocks.
    affinity : AffinityTable
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
        load = view.online / view.slots
        cached = affinity.count_blocks(view.name, blocks)
        share = cached / len(blocks) if blocks else 0.0
        return (load - 0.5 * share, view.name)

    return min(usable, key=rank, default=None)
