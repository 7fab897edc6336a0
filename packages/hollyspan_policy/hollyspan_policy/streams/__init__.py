"""Streams that go on at another upstream, and who remembers their version."""

from .answers import classify_resume
from .answers import classify_start
from .answers import StreamAnswer
from .keepers import choose_keepers
from .keepers import choose_respondents
from .keepers import may_miss_streams
from .records import choose_only_version
from .records import choose_write_delay
from .records import is_record_expired
from .versions import find_scarce_versions
from .versions import must_start_over

__all__ = [
    "StreamAnswer",
    "choose_keepers",
    "choose_only_version",
    "choose_respondents",
    "choose_write_delay",
    "classify_resume",
    "classify_start",
    "find_scarce_versions",
    "is_record_expired",
    "may_miss_streams",
    "must_start_over",
]
