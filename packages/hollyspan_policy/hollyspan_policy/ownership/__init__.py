"""Which daemon has a soft duty."""

from .rendezvous import choose_owner
from .rendezvous import rank_owners

__all__ = ["choose_owner", "rank_owners"]
