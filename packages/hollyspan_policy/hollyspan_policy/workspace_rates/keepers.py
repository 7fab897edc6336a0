"""Choice of the daemons that keep count of a workspace's rate."""

from ..ownership import rank_owners

__all__ = ["choose_keepers"]


def choose_keepers(workspace, candidates):
    """Choose the two daemons that count the requests of a workspace.

    Parameters
    ----------
    workspace : str
        Name or key of the workspace.
    candidates : dict
        Region by identifier of each live daemon.

    Returns
    -------
    list of str
        The second one is in another region if there is any, so that both are
        seldom lost together.

    Notes
    -----
    Load pattern: a thousand workspaces, each with requests at hundreds of
    daemons. Rendezvous hashing spreads the count over all daemons, and all
    choose the same ones without messages; when these differ for some
    moments, each keeper only counts what it is told.

    Examples
    --------
    >>> choose_keepers("w", {"a": "r"})
    ['a']
    """
    ranked = rank_owners(workspace, candidates)
    if len(ranked) < 2:
        return ranked
    first = ranked[0]
    others = ranked[1:]
    second = next(
        (each for each in others if candidates[each] != candidates[first]),
        others[0],
    )
    return [first, second]
