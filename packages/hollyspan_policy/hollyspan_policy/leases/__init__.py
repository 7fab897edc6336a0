"""How long a lease can be trusted."""

from .term import LeaseTerm

__all__ = ["LeaseTerm"]
