"""What the parts of one daemon share."""

from .runtime import Runtime

__all__ = ["Runtime"]
