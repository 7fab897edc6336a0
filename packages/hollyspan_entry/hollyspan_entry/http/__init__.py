"""Shared parts of the daemon's HTTP resources."""

from .answer import encode_error
from .answer import write_error
from .answer import write_json
from .auth import authenticate
from .auth import sign_key
from .body import MAX_BODY_BYTES
from .body import read_body
from .body import read_json
from .caller import identify_caller
from .operations import build_operations
from .paced import PacedWriter
from .paging import build_list
from .paging import read_paging
from .producer import BytesProducer
from .resource import AsyncResource
from .site import DrainingSite
from .tree import add_resource

__all__ = [
    "AsyncResource",
    "BytesProducer",
    "DrainingSite",
    "MAX_BODY_BYTES",
    "PacedWriter",
    "add_resource",
    "authenticate",
    "build_list",
    "build_operations",
    "encode_error",
    "identify_caller",
    "read_body",
    "read_json",
    "read_paging",
    "sign_key",
    "write_error",
    "write_json",
]
