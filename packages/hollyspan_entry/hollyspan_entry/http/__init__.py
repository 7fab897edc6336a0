"""Parts that all HTTP resources of the daemon share."""

from .answer import encode_error
from .answer import write_error
from .answer import write_json
from .auth import authenticate
from .auth import sign_key
from .body import MAX_BODY_BYTES
from .body import read_body
from .body import read_json
from .caller import identify_caller
from .paced import PacedWriter
from .producer import BytesProducer
from .resource import AsyncResource
from .site import DrainingSite
from .tree import add_resource

__all__ = [
    "AsyncResource",
    "DrainingSite",
    "BytesProducer",
    "MAX_BODY_BYTES",
    "PacedWriter",
    "add_resource",
    "add_resource",
    "authenticate",
    "encode_error",
    "identify_caller",
    "read_body",
    "read_json",
    "sign_key",
    "write_error",
    "write_json",
]
