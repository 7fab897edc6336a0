"""Whether upstreams are still the processes that their entries name."""

from .incarnations import Incarnations
from .notice import UnprovenNotice

__all__ = ["UnprovenNotice", "Incarnations"]
