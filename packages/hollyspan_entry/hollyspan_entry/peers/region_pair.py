"""Source and destination region of forwarded traffic."""

from typing import NamedTuple

__all__ = ["RegionPair"]


class RegionPair(NamedTuple):
    """Regions between which forwarded bytes travel."""

    source: str
    destination: str
