"""Routing of online requests to upstreams."""

from .affinity import AffinityTable
from .affinity import hash_blocks
from .baselines import choose_least_loaded
from .baselines import ROUTING_POLICIES
from .choice import choose_upstream
from .cost import estimate_cost
from .cost import estimate_streams_ahead
from .cost import estimate_wait
from .data_centre_view import DataCentreView
from .proximity import choose_fastest_upstream
from .proximity import estimate_start_delay
from .spillover import choose_data_centre
from .spillover import estimate_free_slots
from .view import UpstreamView

__all__ = [
    "AffinityTable",
    "DataCentreView",
    "ROUTING_POLICIES",
    "UpstreamView",
    "choose_data_centre",
    "choose_least_loaded",
    "choose_fastest_upstream",
    "choose_upstream",
    "estimate_cost",
    "estimate_streams_ahead",
    "estimate_free_slots",
    "estimate_start_delay",
    "estimate_wait",
    "hash_blocks",
]
