"""Requests that are forwarded to a daemon of another data centre."""

from .codec import convert_codec_errors
from .codec import PeerMessage

__all__ = [
    "ForwardHead",
    "ForwardRequest",
    "build_forward_request",
    "read_forward_head",
    "read_forward_request",
]

MILLISECONDS_PER_SECOND = 1000


class ForwardRequest:
    """A request to run in another data centre.

    Parameters
    ----------
    path : str
        Request path at the upstream.
    body : bytes
    workspace : str
    key : str
        Stable key of the request.
    deadline_seconds : float
        Remaining time in seconds.
    streamed : bool
        Whether the response is a stream.
    online : bool
        Whether the request is online, not batch.
    request_id : str
        Identifier of the request in the logs of both daemons.
    """

    __slots__ = (
        "path",
        "body",
        "workspace",
        "key",
        "deadline_seconds",
        "streamed",
        "online",
        "request_id",
    )

    def __init__(
        self,
        *,
        path,
        body,
        workspace,
        key,
        deadline_seconds,
        streamed,
        online,
        request_id,
    ):
        self.path = path
        self.body = body
        self.workspace = workspace
        self.key = key
        self.deadline_seconds = deadline_seconds
        self.streamed = streamed
        self.online = online
        self.request_id = request_id


class ForwardHead:
    """Status and content type of a forwarded answer.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
    """

    __slots__ = ("status", "content_type")

    def __init__(self, *, status, content_type):
        self.status = status
        self.content_type = content_type


def build_forward_request(request):
    """Return a request as a message that can be encoded.

    Parameters
    ----------
    request : ForwardRequest

    Returns
    -------
    PeerMessage builder
    """
    message = PeerMessage.new_message()
    target = message.init("forwardRequest")
    target.path = request.path
    target.body = request.body
    target.workspace = request.workspace
    target.key = request.key
    target.deadlineMilliseconds = max(
        0, int(request.deadline_seconds * MILLISECONDS_PER_SECOND)
    )
    target.streamed = request.streamed
    target.online = request.online
    target.requestId = request.request_id
    return message


def read_forward_request(message):
    """Return the request in a decoded message.

    Parameters
    ----------
    message : PeerMessage reader

    Returns
    -------
    ForwardRequest

    Raises
    ------
    PeerMessageError
        The message is malformed.
    """
    with convert_codec_errors():
        source = message.forwardRequest
        return ForwardRequest(
            path=source.path,
            body=bytes(source.body),
            workspace=source.workspace,
            key=source.key,
            deadline_seconds=source.deadlineMilliseconds
            / MILLISECONDS_PER_SECOND,
            streamed=source.streamed,
            online=source.online,
            request_id=source.requestId,
        )


def read_forward_head(message):
    """Return the head of an answer in a decoded message.

    Parameters
    ----------
    message : PeerMessage reader

    Returns
    -------
    ForwardHead

    Raises
    ------
    PeerMessageError
        The message is malformed.
    """
    with convert_codec_errors():
        source = message.forwardHead
        return ForwardHead(
            status=source.status, content_type=source.contentType
        )
