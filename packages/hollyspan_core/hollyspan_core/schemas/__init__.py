"""JSON Schemas of settings and configuration, and validation."""

from .check import find_default
from .check import find_faults
from .check import find_value_faults

__all__ = ["find_default", "find_faults", "find_value_faults"]
