"""Reading of connections in turns of bounded work, and their ends."""

from .endings import find_end_reason
from .turns import SLICE_BYTES
from .turns import TurnReader

__all__ = ["SLICE_BYTES", "TurnReader", "find_end_reason"]
