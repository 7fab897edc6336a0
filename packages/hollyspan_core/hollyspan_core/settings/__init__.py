"""Settings of one daemon."""

from .reader import read_settings
from .settings import Settings

__all__ = ["Settings", "read_settings"]
