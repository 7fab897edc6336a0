"""One request for an answer of a model."""

from ..once import build_request_key

__all__ = ["OnlineRequest"]


class OnlineRequest:
    """What a caller asks of a model.

    Parameters
    ----------
    identifier : str
        Name of the request within the fleet.
    workspace, service : str
    path : str
        Path at the engine.
    document : dict
        Decoded body.
    body : bytes
        The body as it came.
    streamed : bool
    idempotent : bool
        False when it must not run twice.
    key : str or None
        The caller's ``Idempotency-Key``.
    deadline : float
        Monotonic seconds.
    blocks : list of int
        Hashes of the prompt's blocks.
    forwarded : bool, optional
        True when a daemon of another data centre handed it on.
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
        """Name that all attempts and resends of this request share."""
        return build_request_key(
            self.workspace, self.key, identifier=self.identifier
        )
