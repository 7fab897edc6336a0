"""HTTP/1.1 client connections to upstreams and to the store."""

from .attempt import run_attempt
from .connection import ClientConnection
from .connection import connect
from .exchange import Exchange
from .pool import ConnectionPool

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "connect",
    "run_attempt",
]
