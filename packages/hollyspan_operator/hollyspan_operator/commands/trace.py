"""Command that tells a request's life from logs."""

import sys

from ..errors import InputFileError
from ..output import print_result
from ..tracing import build_trace
from ..tracing import parse_line

__all__ = ["trace_request"]


def trace_request(identifier, *paths, json=False):
    """Show what happened to a request, an item or a job.

    Parameters
    ----------
    identifier : str
        Identifier of the request, item or job.
    paths : str
        Log files of the daemons; standard input without any.
    json : bool
        Print JSON, for programs.
    """
    lines = build_trace(read_lines(paths), str(identifier))
    result = [
        {
            "time": line.time,
            "instance": line.instance,
            "kind": line.kind,
            **line.fields,
        }
        for line in lines
    ]
    print_result(result, as_json=json, describe=describe_trace)


def read_lines(paths):
    """Read the log lines of files or of standard input."""
    texts = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                texts += file.readlines()
        except OSError as fault:
            raise InputFileError(f"{path}: {fault.strerror}") from fault
    if not paths:
        texts = sys.stdin.readlines()
    parsed = (parse_line(text) for text in texts)
    return [line for line in parsed if line is not None]


def describe_trace(rows):
    """Return a text with one line for each row, times from the first."""
    if not rows:
        return "no line names it"
    start = rows[0]["time"]
    return "\n".join(describe_row(row, start) for row in rows)


def describe_row(row, start):
    fields = " ".join(
        f"{key}={value}"
        for key, value in row.items()
        if key not in ("time", "instance", "kind")
    )
    offset = row["time"] - start
    return f"{offset:+9.3f} {row['instance']} {row['kind']} {fields}"
