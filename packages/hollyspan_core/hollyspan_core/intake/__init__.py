"""Reading of connections in turns of bounded work."""

from .turns import SLICE_BYTES
from .turns import TurnReader

__all__ = ["SLICE_BYTES", "TurnReader"]
