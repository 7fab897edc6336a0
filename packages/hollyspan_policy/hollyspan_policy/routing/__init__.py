"""Which upstream an online request goes to."""

from .affinity import AffinityTable
from .affinity import hash_blocks
from .choice import choose_upstream
from .view import UpstreamView

__all__ = ["AffinityTable", "UpstreamView", "choose_upstream", "hash_blocks"]
