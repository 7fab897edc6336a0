"""Reading of gateways' logs and output of figures as JSON."""

import json
import sys

from hollyspan_operator.tracing import parse_line

__all__ = ["read_lines", "write_figures"]

STANDARD_INPUT = "/dev/stdin"


def read_lines(paths):
    """Read and parse the lines of logs.

    Parameters
    ----------
    paths : iterable of str
        Log files; standard input without any.

    Returns
    -------
    list of LogLine
    """
    lines = []
    for path in paths or (STANDARD_INPUT,):
        with open(path, encoding="utf-8", errors="replace") as stream:
            lines += [parse_line(text) for text in stream]
    return [line for line in lines if line is not None]


def write_figures(figures, output):
    """Print figures as JSON and optionally write them to a file.

    Parameters
    ----------
    figures : dict or list
    output : str or None
        File to write.
    """
    text = json.dumps(figures, indent=2) + "\n"
    if output is not None:
        with open(output, "w", encoding="utf-8") as stream:
            stream.write(text)
    sys.stdout.write(text)
