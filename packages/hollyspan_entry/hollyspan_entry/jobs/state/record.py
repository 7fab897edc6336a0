"""Record of a job in the store."""

import json

from .closed import ClosedChunk
from .status import JobStatus

__all__ = ["JobRecord", "decode_record", "encode_record"]


class JobRecord:
    """Record of a job in the store, without its items and results.

    Parameters
    ----------
    job, workspace : str
    file : str
        Identifier of the input file, as used by callers.
    data : str
        Identifier in the store keys of the input file's chunks.
    endpoint, completion_window : str
    metadata : dict
    due : float
        Deadline in seconds since the epoch.
    idempotent : bool
        False when no item may run twice.
    items : list of int
        Number of items in each chunk.
    models : list of str
        Models requested by the items; empty when there are too many.
    created_at : int
        Seconds since the epoch.
    status : JobStatus, optional
    ended_at, cancelling_at : int or None, optional
        Seconds since the epoch.
    closed : dict, optional
        ClosedChunk by chunk index.
    """

    __slots__ = (
        "job",
        "workspace",
        "file",
        "data",
        "endpoint",
        "completion_window",
        "metadata",
        "due",
        "idempotent",
        "items",
        "models",
        "created_at",
        "status",
        "ended_at",
        "cancelling_at",
        "closed",
    )

    def __init__(
        self,
        *,
        job,
        workspace,
        file,
        data,
        endpoint,
        completion_window,
        metadata,
        due,
        idempotent,
        items,
        models,
        created_at,
        status=JobStatus.IN_PROGRESS,
        ended_at=None,
        cancelling_at=None,
        closed=None,
    ):
        self.job = job
        self.workspace = workspace
        self.file = file
        self.data = data
        self.endpoint = endpoint
        self.completion_window = completion_window
        self.metadata = metadata
        self.due = due
        self.idempotent = idempotent
        self.items = items
        self.models = models
        self.created_at = created_at
        self.status = status
        self.ended_at = ended_at
        self.cancelling_at = cancelling_at
        self.closed = closed or {}

    @property
    def is_complete(self):
        """True when all chunks are closed."""
        return len(self.closed) == len(self.items)

    def list_open_chunks(self):
        """List the chunks that are not closed.

        Returns
        -------
        list of int
        """
        return [
            chunk
            for chunk in range(len(self.items))
            if chunk not in self.closed
        ]

    def count(self, name):
        """Return the sum of a count over the closed chunks.

        Parameters
        ----------
        name : str
            Name of a count of ClosedChunk.

        Returns
        -------
        int
        """
        return sum(getattr(chunk, name) for chunk in self.closed.values())


def encode_record(record):
    """Encode a record as JSON.

    Parameters
    ----------
    record : JobRecord

    Returns
    -------
    bytes
    """
    document = {name: getattr(record, name) for name in JobRecord.__slots__}
    document["status"] = record.status.value
    document["closed"] = {
        str(chunk): closed.dump() for chunk, closed in record.closed.items()
    }
    return json.dumps(document).encode()


def decode_record(content):
    """Decode a record from JSON.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    JobRecord
    """
    document = json.loads(content)
    document["status"] = JobStatus(document["status"])
    document["closed"] = {
        int(chunk): ClosedChunk.load(values)
        for chunk, values in document["closed"].items()
    }
    return JobRecord(**document)
