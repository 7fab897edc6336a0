"""What a request says of itself before its body."""

__all__ = ["RequestHead"]


class RequestHead:
    """Head of a request, decoded once.

    Parameters
    ----------
    identifier : str
        Names one client attempt; empty when the client gave none.
    host : str
    method : bytes
    target : bytes
        Path and query, as received.
    deadline_seconds : float or None
        Time that the client will wait.
    resume_after : int or None
        Identifier of the last event that the client has.
    prompt_tokens, output_tokens : int
        Tokens to be read and the most to be generated; 0 when unknown.
    forwarded : list of (bytes, bytes)
        Headers that are passed on unchanged.
    """

    __slots__ = (
        "identifier",
        "host",
        "method",
        "target",
        "deadline_seconds",
        "resume_after",
        "prompt_tokens",
        "output_tokens",
        "forwarded",
    )

    def __init__(
        self,
        *,
        identifier,
        host,
        method,
        target,
        deadline_seconds,
        resume_after,
        prompt_tokens,
        output_tokens,
        forwarded,
    ):
        self.identifier = identifier
        self.host = host
        self.method = method
        self.target = target
        self.deadline_seconds = deadline_seconds
        self.resume_after = resume_after
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.forwarded = forwarded

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")
