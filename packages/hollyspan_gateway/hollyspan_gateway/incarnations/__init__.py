"""Whether upstreams are still the processes that their entries name."""

from .incarnations import Incarnations
from .notice import DoubtNotice

__all__ = ["DoubtNotice", "Incarnations"]
