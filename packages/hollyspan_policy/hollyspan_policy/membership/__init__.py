"""Membership of the fleet: live daemons, heartbeats and their recipients."""

from .member import Member
from .partners import choose_partners
from .pause import PauseGuard
from .probes import Probes
from .recipients import choose_audience
from .recipients import choose_beat_audience
from .recipients import choose_beat_seconds
from .recipients import choose_gathering
from .recipients import count_round_beats
from .recipients import is_small_fleet
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
