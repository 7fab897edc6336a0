"""Assignment of duties to daemons without coordination."""

from .rendezvous import choose_owner
from .rendezvous import rank_owners

__all__ = ["choose_owner", "rank_owners"]
