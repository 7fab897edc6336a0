"""Streams that go on at another upstream, and who remembers their version."""

from .keepers import choose_keepers
from .keepers import choose_respondents
from .versions import find_scarce_versions
from .versions import must_start_over

__all__ = [
    "choose_keepers",
    "choose_respondents",
    "find_scarce_versions",
    "must_start_over",
]
