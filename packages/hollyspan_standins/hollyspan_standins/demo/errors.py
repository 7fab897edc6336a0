"""Failures of the demonstration."""

from ..common import StandinError

__all__ = ["WrongResultError"]


class WrongResultError(StandinError):
    """What came back is not what the engines generate."""
