"""State of upstreams and calls to them."""

from .peer_load import PeerLoad
from .polling import open_upstreams
from .registry import UpstreamRegistry
from .upstream import Upstream

__all__ = [
    "PeerLoad",
    "Upstream",
    "UpstreamRegistry",
    "open_upstreams",
]
