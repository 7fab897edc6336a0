"""Planned shutdown of a daemon."""

from .action import DrainAction
from .plan import plan_drain
from .view import DrainView

__all__ = ["DrainAction", "DrainView", "plan_drain"]
