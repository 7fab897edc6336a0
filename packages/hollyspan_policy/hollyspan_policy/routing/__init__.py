"""Which upstream an online request goes to."""

from .affinity import AffinityTable
from .affinity import hash_blocks
from .baselines import choose_least_loaded
from .baselines import ROUTING_POLICIES
from .choice import choose_upstream
from .cost import estimate_cost
from .cost import estimate_queue
from .cost import estimate_wait
from .nearby import choose_nearby
from .nearby import estimate_start
from .place import DataCentreView
from .spill import choose_data_centre
from .spill import estimate_room
from .view import UpstreamView

__all__ = [
    "AffinityTable",
    "DataCentreView",
    "ROUTING_POLICIES",
    "UpstreamView",
    "choose_data_centre",
    "choose_least_loaded",
    "choose_nearby",
    "choose_upstream",
    "estimate_cost",
    "estimate_queue",
    "estimate_room",
    "estimate_start",
    "estimate_wait",
    "hash_blocks",
]
