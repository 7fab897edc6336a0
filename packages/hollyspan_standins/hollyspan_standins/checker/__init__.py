"""Checks of recorded histories against invariants.

Records are dicts with ``time``, ``event``, ``key``, ``stream`` and further
fields, as engines and plain services write them. Each function returns a list
of the violations found.
"""

from .answers import find_wrong_answers
from .blocking import find_blocked_online
from .dispatches import find_late_dispatches
from .duplicates import find_duplicate_results
from .generations import find_decreasing_generations
from .losses import find_lost_results
from .refusals import find_false_refusals
from .repeats import find_repeated_runs
from .unfinished import find_unfinished_items
from .violation import Violation

__all__ = [
    "Violation",
    "find_blocked_online",
    "find_late_dispatches",
    "find_duplicate_results",
    "find_false_refusals",
    "find_decreasing_generations",
    "find_lost_results",
    "find_repeated_runs",
    "find_unfinished_items",
    "find_wrong_answers",
]
