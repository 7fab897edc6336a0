"""What the gateways know of the version that began a stream."""

from .notice import AMBIGUOUS_VERSION

__all__ = ["Finding"]


class Finding:
    """Version that began a stream, as far as the gateways know.

    Parameters
    ----------
    version : int or None
        Key of the version, None if no gateway knows the stream;
        AMBIGUOUS_VERSION if they know several under its key.
    is_certain : bool
        False if the stream may be another one, of which the gateways that
        knew it have lost their memory.
    """

    __slots__ = ("version", "is_certain")

    def __init__(self, *, version, is_certain):
        self.version = version
        self.is_certain = is_certain

    @property
    def is_ambiguous(self):
        """True if streams of several versions are known under its key."""
        return self.version == AMBIGUOUS_VERSION
