"""Reading of connections in turns of bounded work."""

from .turns import TurnReader

__all__ = ["TurnReader"]
