"""Streams of tokens from engines."""

from .assembly import assemble_answer
from .cancellation import cancel_stream
from .cancellation import send_cancel
from .parser import EventParser
from .run import run_stream

__all__ = [
    "EventParser",
    "assemble_answer",
    "cancel_stream",
    "run_stream",
    "send_cancel",
]
