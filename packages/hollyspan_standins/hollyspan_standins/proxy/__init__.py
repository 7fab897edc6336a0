"""Fault proxy for TCP and UDP links."""

from .link import Link
from .ports import listen_link
from .ports import NoPortError
from .server import ProxyServer

__all__ = ["Link", "NoPortError", "ProxyServer", "listen_link"]
