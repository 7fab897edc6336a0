"""The life of a request or an item, from the logs of all daemons."""

from .lines import LogLine
from .lines import parse_line
from .trace import build_trace

__all__ = ["LogLine", "build_trace", "parse_line"]
