"""Limit on batch streams under a configured policy."""

from .baselines import allow_as_online
from .baselines import allow_fixed
from .baselines import allow_none

__all__ = ["count_batch_slots"]

BASELINES = {
    "none": allow_none,
    "as_online": allow_as_online,
    "fixed_cap": allow_fixed,
}


def count_batch_slots(policy, gate, *, running, now):
    """Return the number of batch streams that may run under a policy.

    Parameters
    ----------
    policy : str
        One of BATCH_POLICIES; ``yielding`` uses the limit of the gate.
    gate : BatchGate
    running : int
        Number of running batch streams.
    now : float
        Monotonic seconds.

    Returns
    -------
    int
    """
    baseline = BASELINES.get(policy)
    if baseline is None:
        return gate.count_allowed(now=now, running=running)
    return baseline(slots=gate.slots, online=gate.load.announced)
