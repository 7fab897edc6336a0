"""Errors of the demonstration."""

from ..common import StandinError

__all__ = ["WrongResultError"]


class WrongResultError(StandinError):
    """A result differs from the expected one."""
