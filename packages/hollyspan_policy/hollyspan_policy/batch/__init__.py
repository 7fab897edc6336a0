"""How batch work yields to online work."""

from .arrivals import ArrivalEstimator
from .baselines import allow_as_online
from .baselines import allow_fixed
from .baselines import allow_none
from .baselines import BATCH_POLICIES
from .policy import count_batch_slots
from .preemption import choose_preempted
from .slots import BatchGate
from .stream import StreamView
from .unanswered import choose_unanswered
from .window import SlidingMinimum

__all__ = [
    "ArrivalEstimator",
    "BATCH_POLICIES",
    "BatchGate",
    "SlidingMinimum",
    "StreamView",
    "allow_as_online",
    "allow_fixed",
    "allow_none",
    "choose_preempted",
    "choose_unanswered",
    "count_batch_slots",
]
