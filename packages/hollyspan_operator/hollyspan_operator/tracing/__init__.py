"""History of a request, item or job from the logs of all daemons."""

from .lines import LogLine
from .lines import parse_line
from .trace import build_trace

__all__ = ["LogLine", "build_trace", "parse_line"]
