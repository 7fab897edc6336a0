"""Pace of upstreams that have started or recovered.

Load pattern: an upstream that comes back is idle, so that all gateways choose
it at once, while its first answers are slow; or it stays idle for a fixed time
though it answers as fast as its peers.
"""

from .answer import PaceAnswer
from .baselines import choose_additive_pace
from .baselines import choose_gradient_pace
from .baselines import choose_pace_by_time
from .record import PaceRecord
from .room import count_room
from .room import list_with_room
from .start import choose_paced
from .start import is_minority
from .step import choose_pace
from .typical import TypicalTimes
from .verdict import judge_first_event
from .verdict import judge_pause
from .verdict import Verdict

__all__ = [
    "PaceAnswer",
    "PaceRecord",
    "TypicalTimes",
    "Verdict",
    "choose_additive_pace",
    "choose_gradient_pace",
    "choose_pace",
    "choose_pace_by_time",
    "choose_paced",
    "count_room",
    "is_minority",
    "judge_first_event",
    "judge_pause",
    "list_with_room",
]
