"""Retry decisions, budgets and back-off."""

from .backoff import compute_backoff
from .budget import RetryBudget
from .continuation import may_break_off
from .continuation import must_continue
from .decision import decide_retry
from .decision import is_safe_to_retry
from .failure import AttemptFailure
from .hops import list_passed_over
from .hops import must_ask_again
from .silence import MAX_STILL_S
from .silence import must_leave_silence
from .silence import pays_to_move
from .silence import speaks_against_text

__all__ = [
    "AttemptFailure",
    "MAX_STILL_S",
    "RetryBudget",
    "compute_backoff",
    "decide_retry",
    "is_safe_to_retry",
    "list_passed_over",
    "may_break_off",
    "must_ask_again",
    "must_continue",
    "must_leave_silence",
    "pays_to_move",
    "speaks_against_text",
]
