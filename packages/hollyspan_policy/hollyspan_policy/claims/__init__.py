"""Which chunk of which job to claim next."""

from .choice import choose_chunk
from .view import JobView

__all__ = ["JobView", "choose_chunk"]
