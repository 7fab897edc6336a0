"""Forwarding of requests to other data centres."""

import math

from ..hashing import hash_parts

__all__ = ["choose_data_centre", "estimate_free_slots"]

TRANSFER_COST_S_PER_MEGABYTE = 2.0
BYTES_PER_MEGABYTE = 1_000_000
FREE_SLOTS_DECAY_S = 2.0
MIN_GAIN_S = 0.1


def choose_data_centre(candidates, *, wait_seconds, content_bytes, seed):
    """Choose a data centre that is expected to answer sooner than this one.

    Parameters
    ----------
    candidates : iterable of DataCentreView
        Views of the other data centres.
    wait_seconds : float
        Expected wait for a slot in the local data centre.
    content_bytes : int
        Expected size of request and answer, bytes.
    seed : str
        Key of the request.

    Returns
    -------
    DataCentreView or None
        None when the request is better served locally.

    Notes
    -----
    Traffic between regions is billed, so it is converted to time: a request
    is forwarded only when the wait that this saves outweighs the round trip
    and the transfer. Among the data centres for which it does, the request's
    key chooses, weighted by their free slots, so that daemons do not all
    choose the same one.

    Examples
    --------
    >>> from hollyspan_policy.routing import DataCentreView
    >>> candidate = DataCentreView(
    ...     data_centre="kriti-a", free_slots=4, age=0.2, round_trip=0.05
    ... )
    >>> chosen = choose_data_centre(
    ...     [candidate], wait_seconds=1.0, content_bytes=2000, seed="r1"
    ... )
    >>> chosen.data_centre
    'kriti-a'
    """

    def compute_gain(candidate):
        transfer_cost = (
            content_bytes / BYTES_PER_MEGABYTE * TRANSFER_COST_S_PER_MEGABYTE
        )
        return wait_seconds - candidate.round_trip - transfer_cost

    def compute_weight(candidate):
        # Weighted rendezvous hashing; the weights are the free slots.
        draw = (hash_parts(seed, candidate.data_centre) + 1) / (2**64 + 1)
        return -estimate_free_slots(candidate) / math.log(draw)

    worthwhile = [
        candidate
        for candidate in candidates
        if estimate_free_slots(candidate) >= 1
        and compute_gain(candidate) >= MIN_GAIN_S
    ]
    return max(worthwhile, key=compute_weight, default=None)


def estimate_free_slots(candidate):
    """Estimate the free slots of a data centre.

    Parameters
    ----------
    candidate : DataCentreView

    Returns
    -------
    float
        Slots. Decays with the age of the announced count, and may be
        negative.
    """
    decay = math.exp(-candidate.age / FREE_SLOTS_DECAY_S)
    return candidate.free_slots * decay - candidate.sent
