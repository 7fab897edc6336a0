"""HTTP API for operators."""

from .part import open_operators

__all__ = ["open_operators"]
