"""The operators' HTTP interface."""

from .part import open_operators

__all__ = ["open_operators"]
