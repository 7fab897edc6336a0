"""Jobs of callers: their interface and their running."""

from .batch import build_batch_object
from .cancellation import cancel_job
from .change import read_record
from .part import open_jobs
from .record import decode_record

__all__ = [
    "build_batch_object",
    "cancel_job",
    "decode_record",
    "open_jobs",
    "read_record",
]
