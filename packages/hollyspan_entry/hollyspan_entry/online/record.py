"""What is known of a request at its end."""

__all__ = ["RequestRecord"]


class RequestRecord:
    """Measures of one online request.

    Parameters
    ----------
    service, workspace : str
    streamed : bool
    whole : bool
        True when the caller was sent the whole answer.
    code : str or None
        Code of the error that ended it.
    seconds : float
        From its arrival to its end.
    first_token : float or None
        Seconds from its arrival to the first token.
    between_tokens : float or None
        Mean seconds from one token to the next.
    """

    __slots__ = (
        "service",
        "workspace",
        "streamed",
        "whole",
        "code",
        "seconds",
        "first_token",
        "between_tokens",
    )

    def __init__(
        self,
        *,
        service,
        workspace,
        streamed,
        whole,
        code,
        seconds,
        first_token,
        between_tokens,
    ):
        self.service = service
        self.workspace = workspace
        self.streamed = streamed
        self.whole = whole
        self.code = code
        self.seconds = seconds
        self.first_token = first_token
        self.between_tokens = between_tokens
