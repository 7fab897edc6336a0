"""Key of a service-level counter."""

from typing import NamedTuple

__all__ = ["BurnKey"]


class BurnKey(NamedTuple):
    """Service and kind of objective that a counter belongs to."""

    service: str
    kind: str
