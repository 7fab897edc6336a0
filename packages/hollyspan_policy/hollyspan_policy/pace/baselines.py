"""Other ways to choose a pace, to compare with `choose_pace`."""

from .step import GROWTH
from .step import MIN_PACE
from .verdict import Verdict

__all__ = [
    "choose_additive_pace",
    "choose_gradient_pace",
    "choose_pace_by_time",
]

# Time after which an upstream gets all that it can run.
RAMP_S = 10.0
# Requests beyond what the gradient allows, so that a limit can grow.
QUEUE = 1
MIN_GRADIENT = 0.5


def choose_additive_pace(record, answer):
    """Grow by one with each answer in time, and halve with a late one."""
    if answer.verdict in (Verdict.IN_TIME, Verdict.STEADY):
        return max(record.allowed, answer.in_flight + 1)
    return max(MIN_PACE, record.allowed // GROWTH)


def choose_gradient_pace(record, answer):
    """Multiply by the ratio of the best time to the last one."""
    if answer.first_event is None:
        return record.allowed
    gradient = max(MIN_GRADIENT, record.best / answer.first_event)
    return max(MIN_PACE, int(record.allowed * gradient + QUEUE))


def choose_pace_by_time(record, answer):
    """Grow with the time since the start, whatever the answers say."""
    share = min(1.0, (answer.at - record.begun_at) / RAMP_S)
    return max(MIN_PACE, int(share * answer.slots))
