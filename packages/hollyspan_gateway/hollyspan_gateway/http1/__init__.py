"""HTTP/1.1 client connections, and what both ends of requests share."""

from .attempt import run_attempt
from .connection import ClientConnection
from .connection import connect
from .defects import answer_defect
from .exchange import Exchange
from .pool import ConnectionPool

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "answer_defect",
    "connect",
    "run_attempt",
]
