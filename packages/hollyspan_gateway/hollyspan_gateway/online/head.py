"""Head of a client's request."""

from hollyspan_policy.hashing import format_hash

__all__ = ["RequestHead", "format_parts"]


class RequestHead:
    """Decoded head of a request.

    Parameters
    ----------
    identifier : str
        Identifies one client attempt; empty when the client sent none.
    host : str
    method : bytes
    target : bytes
        Path and query, as received.
    deadline_seconds : float or None
        Time that the client waits for the answer.
    resume_after : int or None
        Identifier of the last event that the client has received.
    resumes : str or None
        Identifier of the attempt that brought the client the first event of
        the stream that it resumes.
    prompt_tokens, output_tokens : int
        Tokens of the prompt and the most tokens to generate; 0 when
        unknown.
    shared_parts : tuple of int
        Hashes of the parts of the prompt that other requests may share, in
        order.
    fingerprint : int
        Hash of path, caller and body, the same when the request comes again;
        0 for an item of a job.
    forwarded : list of (bytes, bytes)
        Headers that are forwarded unchanged.
    key_digest : str or None, optional
        Digest of the caller's key; None without one.
    credentials : tuple of (bytes, bytes), optional
        Headers with the key or a name of a workspace, which are forwarded
        only where the configuration has no workspaces.
    workspace : str or None, optional
        Name of the workspace that it belongs to.
    """

    __slots__ = (
        "identifier",
        "host",
        "method",
        "target",
        "deadline_seconds",
        "resume_after",
        "resumes",
        "prompt_tokens",
        "output_tokens",
        "shared_parts",
        "fingerprint",
        "forwarded",
        "key_digest",
        "credentials",
        "workspace",
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
        resumes,
        prompt_tokens,
        output_tokens,
        shared_parts,
        fingerprint,
        forwarded,
        key_digest=None,
        credentials=(),
        workspace=None,
    ):
        self.identifier = identifier
        self.host = host
        self.method = method
        self.target = target
        self.deadline_seconds = deadline_seconds
        self.resume_after = resume_after
        self.resumes = resumes
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.shared_parts = shared_parts
        self.fingerprint = fingerprint
        self.forwarded = forwarded
        self.key_digest = key_digest
        self.credentials = credentials
        self.workspace = workspace

    @property
    def keys(self):
        """Keys under which upstreams' ends speak against the request."""
        if not self.fingerprint:
            return self.shared_parts
        return (*self.shared_parts, self.fingerprint)

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


def format_parts(parts):
    """Return hashes of prompt parts as text, for log lines."""
    return [format_hash(part) for part in parts]
