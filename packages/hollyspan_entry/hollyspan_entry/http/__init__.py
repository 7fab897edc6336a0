"""Parts that all HTTP resources of the daemon share."""

from .answer import write_error
from .answer import write_json
from .auth import authenticate
from .auth import sign_key
from .body import read_body
from .body import read_json
from .resource import AsyncResource

__all__ = [
    "AsyncResource",
    "authenticate",
    "read_body",
    "read_json",
    "sign_key",
    "write_error",
    "write_json",
]
