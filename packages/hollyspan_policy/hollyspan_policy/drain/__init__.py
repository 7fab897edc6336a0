"""Planned shutdown of a daemon."""

from .action import DrainAction
from .admission import bound_wait
from .admission import can_finish
from .plan import plan_drain
from .view import DrainView

__all__ = [
    "DrainAction",
    "DrainView",
    "bound_wait",
    "can_finish",
    "plan_drain",
]
