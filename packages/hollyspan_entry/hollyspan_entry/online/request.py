"""Online request for a model."""

from ..once import build_request_key

__all__ = ["OnlineRequest"]


class OnlineRequest:
    """Validated request of a caller for a model.

    Parameters
    ----------
    identifier : str
        Unique identifier of the request within the fleet.
    workspace, service : str
    path : str
        Path of the request at the engine.
    document : dict
        Decoded body.
    body : bytes
        Body as received.
    streamed : bool
        Whether the caller asks for an event stream.
    idempotent : bool
        False when the request must not run twice.
    key : str or None
        The caller's ``Idempotency-Key``.
    deadline : float
        Monotonic seconds.
    blocks : list of int
        Hashes of the prompt's blocks.
    forwarded : bool, optional
        True when a daemon of another data centre forwarded the request.
    """

    __slots__ = (
        "identifier",
        "workspace",
        "service",
        "path",
        "document",
        "body",
        "streamed",
        "idempotent",
        "key",
        "deadline",
        "blocks",
        "forwarded",
    )

    def __init__(
        self,
        *,
        identifier,
        workspace,
        service,
        path,
        document,
        body,
        streamed,
        idempotent,
        key,
        deadline,
        blocks,
        forwarded=False,
    ):
        self.identifier = identifier
        self.workspace = workspace
        self.service = service
        self.path = path
        self.document = document
        self.body = body
        self.streamed = streamed
        self.idempotent = idempotent
        self.key = key
        self.deadline = deadline
        self.blocks = blocks
        self.forwarded = forwarded

    @property
    def stable_key(self):
        """Key shared by all attempts and resends of this request."""
        return build_request_key(
            self.workspace, self.key, identifier=self.identifier
        )
