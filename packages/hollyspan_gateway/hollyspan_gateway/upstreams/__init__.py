"""Upstreams that serve requests and how busy they are."""

from .batchplacement import BatchPlacement
from .directory import Directory
from .directory import LAPSE_GRACE_S
from .placement import Placement
from .upstream import Upstream
from .upstream import UpstreamEntry

__all__ = [
    "BatchPlacement",
    "Directory",
    "LAPSE_GRACE_S",
    "Placement",
    "Upstream",
    "UpstreamEntry",
]
