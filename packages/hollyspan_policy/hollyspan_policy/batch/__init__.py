"""Scheduling of batch work in slots that online requests leave free."""

from .arrivals import ArrivalEstimator
from .baselines import allow_as_online
from .baselines import allow_fixed
from .baselines import allow_none
from .baselines import BATCH_POLICIES
from .ended_route import has_route_ended
from .grace import choose_preemption_grace
from .headroom import compute_quantile_level
from .headroom import split_reserve
from .job_room import fits_anywhere
from .job_room import may_read_job
from .online_load import OnlineLoad
from .orphaned import choose_orphaned_streams
from .policy import count_batch_slots
from .preemption import choose_preempted
from .sharing import choose_batch_upstream
from .sharing import count_excess
from .sharing import count_free_slots
from .slots import BatchGate
from .stream import StreamView
from .succession import may_succeed
from .succession import MIN_IDLE_S
from .turns import count_turn_slots
from .turns import SlotTurns
from .urgency import rank_item
from .urgency import RunTimeEstimator
from .window import SlidingMinimum

__all__ = [
    "ArrivalEstimator",
    "BATCH_POLICIES",
    "MIN_IDLE_S",
    "BatchGate",
    "OnlineLoad",
    "RunTimeEstimator",
    "SlotTurns",
    "SlidingMinimum",
    "StreamView",
    "allow_as_online",
    "allow_fixed",
    "allow_none",
    "choose_batch_upstream",
    "choose_preempted",
    "choose_preemption_grace",
    "choose_orphaned_streams",
    "compute_quantile_level",
    "count_batch_slots",
    "count_turn_slots",
    "count_excess",
    "count_free_slots",
    "fits_anywhere",
    "has_route_ended",
    "may_read_job",
    "may_succeed",
    "rank_item",
    "split_reserve",
]
