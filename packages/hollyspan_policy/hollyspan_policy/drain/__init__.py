"""What to do when at a planned stop."""

from .action import DrainAction
from .plan import plan_drain
from .view import DrainView

__all__ = ["DrainAction", "DrainView", "plan_drain"]
