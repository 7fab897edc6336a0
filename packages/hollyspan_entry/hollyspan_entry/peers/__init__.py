"""Heartbeats, load notices and TCP links between daemons."""

from .part import open_peers

__all__ = ["open_peers"]
