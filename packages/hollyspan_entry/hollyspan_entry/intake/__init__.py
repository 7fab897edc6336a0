"""What a daemon reads as a client, with limits in bytes, time and work."""

from .agent import open_agent
from .collector import collect_body
from .endings import is_clean_end
from .keeping import open_keeping
from .tally import count_pieces

__all__ = [
    "collect_body",
    "count_pieces",
    "is_clean_end",
    "open_agent",
    "open_keeping",
]
