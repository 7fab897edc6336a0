"""Records of what happened, one JSON object a line."""

from contextlib import contextmanager
import json
import time

__all__ = ["open_recorder"]


@contextmanager
def open_recorder(path, **always):
    """Yield a function that appends one record to a file.

    Parameters
    ----------
    path : str or None
        File to append to; None drops all records.
    **always
        Fields of every record.

    Notes
    -----
    Each record is flushed at once, so that it outlives a killed process.
    """
    if path is None:
        yield lambda event, **fields: None
        return
    with open(path, "a", encoding="utf-8", buffering=1) as stream:

        def record(event, **fields):
            entry = {"time": time.time(), **always, "event": event, **fields}
            stream.write(json.dumps(entry, ensure_ascii=False) + "\n")

        yield record
