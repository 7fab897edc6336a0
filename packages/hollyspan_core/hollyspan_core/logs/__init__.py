"""Log set-up: eliot messages as JSON lines."""

from .destination import open_log

__all__ = ["open_log"]
