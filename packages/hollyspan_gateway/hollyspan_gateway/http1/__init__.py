"""HTTP/1.1 client connections, and answers to failed requests."""

from .attempt import run_attempt
from .connection import ClientConnection
from .connection import connect
from .exchange import Exchange
from .identity import check_answer_identity
from .internal_error import answer_internal_error
from .pool import ConnectionPool

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "answer_internal_error",
    "check_answer_identity",
    "connect",
    "run_attempt",
]
