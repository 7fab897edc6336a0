"""Batch jobs: HTTP interface, state, execution and results."""

from .intake import build_batch_object
from .intake import cancel_job
from .part import open_jobs
from .state import decode_record
from .state import read_record

__all__ = [
    "build_batch_object",
    "cancel_job",
    "decode_record",
    "open_jobs",
    "read_record",
]
