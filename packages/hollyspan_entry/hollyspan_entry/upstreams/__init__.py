"""The upstreams that this daemon knows."""

from .peerload import PeerLoad
from .registry import Upstreams
from .upstream import Upstream

__all__ = ["PeerLoad", "Upstream", "Upstreams"]
