"""Validity of leases for holders and their successors."""

from .expired import choose_expired_services
from .takeover import compute_takeover_wait
from .term import LeaseTerm

__all__ = ["choose_expired_services", "LeaseTerm", "compute_takeover_wait"]
