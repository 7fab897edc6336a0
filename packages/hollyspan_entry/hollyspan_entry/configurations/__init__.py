"""The configuration in force on this daemon."""

from .holder import ConfigurationHolder

__all__ = ["ConfigurationHolder"]
