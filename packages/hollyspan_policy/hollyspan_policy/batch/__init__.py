"""How batch work yields to online work."""

from .slots import BatchGate

__all__ = ["BatchGate"]
