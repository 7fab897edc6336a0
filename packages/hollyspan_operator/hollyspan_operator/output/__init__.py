"""Output of command results."""

from .table import format_table
from .text import print_result

__all__ = ["format_table", "print_result"]
