"""State of jobs in the store and its keys."""

from .change import change_record
from .change import publish_state
from .change import read_record
from .change import remove_from_queue
from .change import touch_queue
from .closed import ClosedChunk
from .keys import build_attempts_key
from .keys import build_claim_key
from .keys import build_job_key
from .keys import build_part_key
from .keys import build_queue_key
from .keys import derive_job_id
from .keys import JOB_PREFIX
from .keys import parse_chunk
from .known_job import KnownJob
from .queue import build_queue_entry
from .queue import decode_queue_entry
from .queue import encode_queue_entry
from .queue import is_file_queued
from .record import decode_record
from .record import encode_record
from .record import JobRecord
from .status import JobStatus

__all__ = [
    "ClosedChunk",
    "JOB_PREFIX",
    "JobRecord",
    "JobStatus",
    "KnownJob",
    "build_attempts_key",
    "build_claim_key",
    "build_job_key",
    "build_part_key",
    "build_queue_entry",
    "build_queue_key",
    "change_record",
    "decode_queue_entry",
    "decode_record",
    "derive_job_id",
    "encode_queue_entry",
    "encode_record",
    "is_file_queued",
    "parse_chunk",
    "read_record",
    "remove_from_queue",
    "publish_state",
    "touch_queue",
]
