"""Upstreams that serve requests and how busy they are."""

from .directory import Directory
from .placement import Placement
from .upstream import Upstream
from .upstream import UpstreamEntry

__all__ = ["Directory", "Placement", "Upstream", "UpstreamEntry"]
