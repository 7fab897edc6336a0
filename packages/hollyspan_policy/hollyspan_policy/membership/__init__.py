"""Which daemons are live."""

from .audience import choose_audience
from .audience import choose_beat_audience
from .audience import choose_beat_seconds
from .audience import choose_gathering
from .audience import count_round_beats
from .audience import is_small_fleet
from .member import Member
from .partners import choose_partners
from .pause import PauseGuard
from .probes import Probes
from .state import MemberState
from .table import MemberTable

__all__ = [
    "choose_audience",
    "choose_beat_audience",
    "choose_beat_seconds",
    "choose_gathering",
    "count_round_beats",
    "is_small_fleet",
    "Member",
    "MemberState",
    "MemberTable",
    "PauseGuard",
    "Probes",
    "choose_partners",
]
