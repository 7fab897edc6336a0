"""Jobs of callers: their interface and their running."""

from .part import open_jobs

__all__ = ["open_jobs"]
