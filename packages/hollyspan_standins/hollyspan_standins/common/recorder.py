"""Event records, written as JSON lines."""

from contextlib import contextmanager
import json
import time

__all__ = ["open_recorder"]


@contextmanager
def open_recorder(path, **common_fields):
    """Open a file and yield a function that appends a record to it.

    Parameters
    ----------
    path : str or None
        File to append to; None discards all records.
    **common_fields
        Fields added to every record.

    Notes
    -----
    Each record is flushed immediately, so that it is not lost if the process
    is killed.
    """
    if path is None:
        yield lambda event, **fields: None
        return
    with open(path, "a", encoding="utf-8", buffering=1) as stream:

        def record(event, **fields):
            entry = {
                "time": time.time(),
                **common_fields,
                "event": event,
                **fields,
            }
            stream.write(json.dumps(entry, ensure_ascii=False) + "\n")

        yield record
