"""Who asks the store when, so that all know how fresh their copies are."""

from .turns import choose_asking_age
from .turns import choose_retry_interval
from .turns import choose_watch_wait
from .turns import estimate_answer_age
from .turns import rank_watcher

__all__ = [
    "choose_asking_age",
    "choose_retry_interval",
    "choose_watch_wait",
    "estimate_answer_age",
    "rank_watcher",
]
