"""HTTP interface to jobs: creation, reading and cancellation."""

from .batch import build_batch_object
from .cancellation import cancel_job
from .resource import build_handler

__all__ = [
    "build_batch_object",
    "build_handler",
    "cancel_job",
]
