"""Validity of leases for holders and their successors."""

from .takeover import compute_takeover_wait
from .term import LeaseTerm

__all__ = ["LeaseTerm", "compute_takeover_wait"]
