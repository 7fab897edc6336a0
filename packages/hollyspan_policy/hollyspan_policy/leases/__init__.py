"""How long a lease can be trusted."""

from .takeover import compute_takeover_wait
from .term import LeaseTerm

__all__ = ["LeaseTerm", "compute_takeover_wait"]
