"""Choice of an upstream within one data centre."""

from ..hashing import hash_parts
from .cost import DEFAULT_SERVICE_TIME_S
from .cost import estimate_cost
from .cost import estimate_wait

__all__ = ["choose_upstream"]

SAMPLED_UPSTREAMS = 2


def choose_upstream(
    views,
    *,
    blocks,
    affinity,
    excluded=(),
    seed=None,
    service_seconds=DEFAULT_SERVICE_TIME_S,
):
    """Choose the upstream for an online request.

    Parameters
    ----------
    views : iterable of UpstreamView
        Upstreams of one data centre that serve the model.
    blocks : list of int
        Hashes of the prompt's blocks.
    affinity : AffinityTable
    excluded : collection of str, optional
        Upstreams that were already tried.
    seed : str, optional
        Key of the request. Without it, all upstreams are compared.
    service_seconds : float, optional
        Mean time for which an online request holds a slot, seconds.

    Returns
    -------
    UpstreamView or None
        None when no upstream is usable.

    Notes
    -----
    Only upstreams with the shortest wait for a slot are considered. A sample
    of these, determined by the request's key, is compared by the expected
    time to the first token [1]_, so that daemons with the same view do not
    all choose the same upstream. Upstreams that hold part of the prompt's
    prefix are always in the sample.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems
       12(10), 2001.
    """
    usable = [
        view for view in views if view.serving and view.name not in excluded
    ]
    if not usable:
        return None

    def compute_wait(view):
        return estimate_wait(view, service_seconds=service_seconds)

    def count_uncached(view):
        return len(blocks) - affinity.count_blocks(view.name, blocks)

    def rank(view):
        cost = estimate_cost(
            view,
            uncached=count_uncached(view),
            service_seconds=service_seconds,
        )
        return (cost, compute_sampling_key(view.name, seed))

    shortest = min(compute_wait(view) for view in usable)
    ready = [view for view in usable if compute_wait(view) <= shortest]
    if seed is None:
        return min(ready, key=rank)
    sample = sorted(
        ready, key=lambda view: compute_sampling_key(view.name, seed)
    )
    sample = sample[:SAMPLED_UPSTREAMS]
    sample += [view for view in ready if count_uncached(view) < len(blocks)]
    return min(sample, key=rank)


def compute_sampling_key(name, seed):
    if seed is None:
        return name
    return hash_parts(seed, name)
