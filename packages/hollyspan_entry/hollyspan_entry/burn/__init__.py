"""Counters of events against the service-level objectives."""

from .burn import BurnCounters
from .key import BurnKey
from .part import open_burn
from .records import record_between_tokens
from .records import record_first_token
from .records import record_job_deadline
from .records import record_whole_answer
from .report import build_report
from .window import Window

__all__ = [
    "BurnCounters",
    "BurnKey",
    "Window",
    "build_report",
    "open_burn",
    "record_between_tokens",
    "record_first_token",
    "record_job_deadline",
    "record_whole_answer",
]
