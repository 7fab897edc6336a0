"""Entries of the queue of unfinished jobs."""

import json

from .keys import build_queue_key

__all__ = [
    "QueueEntry",
    "build_queue_entry",
    "decode_queue_entry",
    "encode_queue_entry",
    "is_file_queued",
]


class QueueEntry:
    """Queue entry of an unfinished job, watched by all daemons.

    Parameters
    ----------
    job, workspace, file : str
    due : float
        Deadline in seconds since the epoch.
    state : str
        Value of the JobStatus.
    """

    __slots__ = ("job", "workspace", "file", "due", "state")

    def __init__(self, *, job, workspace, file, due, state):
        self.job = job
        self.workspace = workspace
        self.file = file
        self.due = due
        self.state = state


def build_queue_entry(record):
    """Return the queue entry of a job.

    Parameters
    ----------
    record : JobRecord

    Returns
    -------
    QueueEntry
    """
    return QueueEntry(
        job=record.job,
        workspace=record.workspace,
        file=record.file,
        due=record.due,
        state=record.status.value,
    )


def encode_queue_entry(entry):
    """Encode an entry as JSON.

    Parameters
    ----------
    entry : QueueEntry

    Returns
    -------
    bytes
    """
    return json.dumps(
        {name: getattr(entry, name) for name in QueueEntry.__slots__}
    ).encode()


def decode_queue_entry(content):
    """Decode an entry from JSON.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    QueueEntry
    """
    return QueueEntry(**json.loads(content))


async def is_file_queued(store, file):
    """Return True if an unfinished job uses a file.

    Parameters
    ----------
    store : Store
    file : str

    Returns
    -------
    bool
    """
    after = None
    while True:
        page = await store.list(build_queue_key(""), after=after)
        for entry in page.entries:
            if decode_queue_entry(entry.content).file == file:
                return True
        if not page.has_more:
            return False
        after = page.entries[-1].key
