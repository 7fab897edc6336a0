"""A whole answer."""

__all__ = ["Answer"]


class Answer:
    """The answer to one request, as it is sent to callers.

    Parameters
    ----------
    status : int
    content_type : str
    body : bytes
    """

    __slots__ = ("status", "content_type", "body")

    def __init__(self, *, status, content_type, body):
        self.status = status
        self.content_type = content_type
        self.body = body

    def send(self, sink):
        """Write the answer to a sink.

        Parameters
        ----------
        sink : HttpSink or alike
        """
        sink.start(
            status=self.status,
            content_type=self.content_type.encode(),
            length=len(self.body),
        )
        sink.write(self.body)
