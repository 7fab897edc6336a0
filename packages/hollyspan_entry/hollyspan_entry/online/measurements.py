"""Measurements of a finished online request."""

__all__ = ["RequestMeasurements"]


class RequestMeasurements:
    """Measurements of one online request.

    Parameters
    ----------
    service, workspace : str
    streamed : bool
    whole : bool
        True when the complete answer was sent to the caller.
    code : str or None
        Code of the error that ended the request.
    seconds : float
        Duration from arrival to end.
    first_token : float or None
        Seconds from arrival to the first token.
    between_tokens : float or None
        Mean seconds between consecutive tokens.
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
