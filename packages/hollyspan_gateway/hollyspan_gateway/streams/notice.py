"""What gateways tell each other about streams."""

__all__ = ["StreamNotice"]


class StreamNotice:
    """Software version that began a stream.

    Parameters
    ----------
    stream : int
        Hash of the identifier of the request that began it.
    version : int
        Key of the version; 0 if the sender does not know it.
    """

    __slots__ = ("stream", "version")

    def __init__(self, *, stream, version):
        self.stream = stream
        self.version = version
