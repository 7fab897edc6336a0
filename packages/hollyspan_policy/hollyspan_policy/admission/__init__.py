"""Which requests are refused before work is begun."""

from .deadline import estimate_first_token
from .limits import WorkspaceLimiter

__all__ = ["WorkspaceLimiter", "estimate_first_token"]
