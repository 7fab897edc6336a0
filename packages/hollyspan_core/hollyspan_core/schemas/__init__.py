"""JSON Schemas of settings and configuration, and their check."""

from .check import find_faults

__all__ = ["find_faults"]
