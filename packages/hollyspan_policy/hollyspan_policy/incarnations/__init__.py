"""What shows whether an upstream is still the process that its entry names."""

from .record import IncarnationRecord

__all__ = ["IncarnationRecord"]
