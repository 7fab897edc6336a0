"""Execution of non-idempotent requests at most once."""

from .answer import Answer
from .names import build_once_key
from .names import build_request_key
from .names import digest_body
from .record import OnceRecord
from .run import OnceRun
from .wait import run_once

__all__ = [
    "Answer",
    "OnceRecord",
    "OnceRun",
    "build_once_key",
    "build_request_key",
    "digest_body",
    "run_once",
]
