"""Two regions with traffic between them."""

from typing import NamedTuple

__all__ = ["RegionPair"]


class RegionPair(NamedTuple):
    """Where bytes come from and where they go."""

    source: str
    destination: str
