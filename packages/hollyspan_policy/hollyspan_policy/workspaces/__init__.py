"""Decisions about workspaces and their keys."""

from .withdrawal import accepts_keys
from .withdrawal import choose_confirmation_age
from .withdrawal import choose_retry_interval
from .withdrawal import estimate_age
from .withdrawal import rank_confirmer

__all__ = [
    "accepts_keys",
    "choose_confirmation_age",
    "choose_retry_interval",
    "estimate_age",
    "rank_confirmer",
]
