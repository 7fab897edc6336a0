"""Blocking client of the callers' API."""

from .batch import build_items
from .batch import fetch_results
from .batch import submit_batch
from .batch import wait_batch
from .client import Caller
from .errors import RefusedError
from .errors import StreamCutError
from .exchange import build_online_request_key
from .exchange import exchange
from .operators import Operator
from .reply import Reply

__all__ = [
    "Reply",
    "exchange",
    "build_online_request_key",
    "Caller",
    "Operator",
    "RefusedError",
    "StreamCutError",
    "build_items",
    "fetch_results",
    "submit_batch",
    "wait_batch",
]
