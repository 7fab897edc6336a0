"""How much may be retried."""

from .budget import RetryBudget

__all__ = ["RetryBudget"]
