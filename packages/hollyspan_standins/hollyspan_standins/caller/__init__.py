"""Small blocking client of the callers' API."""

from .batch import build_items
from .batch import fetch_results
from .batch import submit_batch
from .batch import wait_batch
from .client import Caller
from .errors import RefusedError
from .errors import StreamCutError
from .operators import Operator

__all__ = [
    "Caller",
    "Operator",
    "RefusedError",
    "StreamCutError",
    "build_items",
    "fetch_results",
    "submit_batch",
    "wait_batch",
]
