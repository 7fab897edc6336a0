"""What gateways tell each other about streams."""

__all__ = ["StreamNotice"]


class StreamNotice:
    """Software version that began a stream.

    Parameters
    ----------
    key : int
        Hash of the identifier of the request that began the stream, or the
        request's fingerprint.
    version : int
        Key of the version; 0 if the sender does not know it, the largest
        number if streams of several versions have begun under the key.
    """

    __slots__ = ("key", "version")

    def __init__(self, *, key, version):
        self.key = key
        self.version = version
