"""Software versions that have begun streams, over the fleet."""

from .notice import StreamNotice
from .versions import StreamVersions

__all__ = ["StreamNotice", "StreamVersions"]
