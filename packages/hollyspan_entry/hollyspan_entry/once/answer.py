"""Complete answer to a request."""

__all__ = ["Answer"]


class Answer:
    """Complete answer to a request, as it is sent to the caller.

    Parameters
    ----------
    status : int
        HTTP status.
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
        sink : HttpSink or MessageSink
        """
        sink.start(
            status=self.status,
            content_type=self.content_type.encode(),
            length=len(self.body),
        )
        sink.write(self.body)
