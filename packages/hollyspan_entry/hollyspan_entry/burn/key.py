"""What a service-level counter counts."""

from typing import NamedTuple

__all__ = ["BurnKey"]


class BurnKey(NamedTuple):
    """Service and kind of objective."""

    service: str
    kind: str
