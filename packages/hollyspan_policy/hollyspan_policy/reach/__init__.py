"""Decisions about a daemon's own links to upstreams, and ways around them."""

from .evidence import has_lost_links
from .evidence import is_link_lost
from .evidence import is_only_silent_here
from .forwarders import choose_forwarder
from .forwarders import Forwarder

__all__ = [
    "Forwarder",
    "choose_forwarder",
    "has_lost_links",
    "is_link_lost",
    "is_only_silent_here",
]
