"""What gateways tell each other about streams."""

__all__ = ["AMBIGUOUS_VERSION", "StreamNotice"]

# Value of a key under which streams of several versions have begun.
AMBIGUOUS_VERSION = 2**64 - 1


class StreamNotice:
    """Software version that began a stream.

    Parameters
    ----------
    key : int
        Hash of the identifier of the request that began the stream, or the
        request's fingerprint.
    version : int
        Key of the version; 0 if the sender does not know it, or
        AMBIGUOUS_VERSION.
    """

    __slots__ = ("key", "version")

    def __init__(self, *, key, version):
        self.key = key
        self.version = version
