"""Admission control: refusal of requests before any work is done."""

from .deadline import estimate_first_token
from .decision import decide_admission
from .fair import compute_share
from .fair import divide_capacity
from .holding import must_hold
from .limits import WorkspaceLimiter
from .precedence import choose_priority
from .precedence import choose_return_delay
from .precedence import choose_weights
from .precedence import has_come_back
from .precedence import measure_work
from .precedence import rank_held_request
from .room import has_free_slot
from .room import measure_request_capacity
from .shares import WorkspaceShares
from .verdict import Admission

__all__ = [
    "Admission",
    "WorkspaceLimiter",
    "WorkspaceShares",
    "choose_priority",
    "choose_return_delay",
    "choose_weights",
    "compute_share",
    "decide_admission",
    "divide_capacity",
    "estimate_first_token",
    "has_come_back",
    "has_free_slot",
    "measure_request_capacity",
    "measure_work",
    "must_hold",
    "rank_held_request",
]
