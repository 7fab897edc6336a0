"""Modules shared by all stand-ins."""

from .errors import AnswerError
from .errors import StandinError
from .program import build_parser
from .program import print_ready_line
from .program import run_reactor
from .program import run_site
from .recorder import open_recorder
from .web import build_site
from .web import drop_connection
from .web import read_argument
from .web import read_header
from .web import read_json
from .web import send_json

__all__ = [
    "AnswerError",
    "StandinError",
    "build_parser",
    "build_site",
    "drop_connection",
    "open_recorder",
    "print_ready_line",
    "read_argument",
    "read_header",
    "read_json",
    "run_reactor",
    "run_site",
    "send_json",
]
