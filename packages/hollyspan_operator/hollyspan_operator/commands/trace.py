"""Command that traces a request, item or job through the logs."""

import sys

from ..errors import InputFileError
from ..output import print_result
from ..tracing import build_trace
from ..tracing import parse_line

__all__ = ["trace_request"]


def trace_request(identifier, *paths, json=False):
    """Show the history of a request, an item or a job from the logs.

    Parameters
    ----------
    identifier : str
        Identifier of the request, item or job.
    paths : str
        Log files of the daemons; if none is given, standard input.
    json : bool
        Print JSON for programs.
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
    """Read the log lines from files or from standard input."""
    texts = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                texts += file.readlines()
        except OSError as error:
            raise InputFileError(f"{path}: {error.strerror}") from error
    if not paths:
        texts = sys.stdin.readlines()
    parsed = (parse_line(text) for text in texts)
    return [line for line in parsed if line is not None]


def describe_trace(rows):
    """Format one line per row, with times relative to the first row."""
    if not rows:
        return "no log line contains the identifier"
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
