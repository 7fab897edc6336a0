"""Request for a plain service."""

from ..once import build_request_key

__all__ = ["ServiceRequest"]


class ServiceRequest:
    """Validated request of a caller for a plain service.

    Parameters
    ----------
    identifier : str
        Unique identifier of the request within the fleet.
    workspace, service : str
    method : str
    path : str
        Path below the service's name, with the query.
    headers : dict
        Values (bytes) of the forwarded headers by name (bytes).
    body : bytes
    idempotent : bool
        False when the request must not run twice.
    key : str or None
        The caller's ``Idempotency-Key``.
    deadline : float
        Monotonic seconds.
    """

    __slots__ = (
        "identifier",
        "workspace",
        "service",
        "method",
        "path",
        "headers",
        "body",
        "idempotent",
        "key",
        "deadline",
    )

    def __init__(
        self,
        *,
        identifier,
        workspace,
        service,
        method,
        path,
        headers,
        body,
        idempotent,
        key,
        deadline,
    ):
        self.identifier = identifier
        self.workspace = workspace
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.idempotent = idempotent
        self.key = key
        self.deadline = deadline

    @property
    def stable_key(self):
        """Key shared by all attempts and resends of this request."""
        return build_request_key(
            self.workspace, self.key, identifier=self.identifier
        )
