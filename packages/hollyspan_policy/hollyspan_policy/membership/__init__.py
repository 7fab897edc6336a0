"""Membership of the fleet: live daemons, heartbeats and their recipients."""

from .member import Member
from .partners import choose_partners
from .pause import PauseGuard
from .probes import Probes
from .readers import is_store_reader
from .recipients import choose_coalescing_delay
from .recipients import choose_heartbeat_interval
from .recipients import choose_heartbeat_recipients
from .recipients import choose_load_recipients
from .recipients import count_heartbeats_per_round
from .recipients import is_small_fleet
from .state import MemberState
from .table import MemberTable

__all__ = [
    "choose_load_recipients",
    "choose_heartbeat_recipients",
    "choose_heartbeat_interval",
    "choose_coalescing_delay",
    "count_heartbeats_per_round",
    "is_small_fleet",
    "is_store_reader",
    "Member",
    "MemberState",
    "MemberTable",
    "PauseGuard",
    "Probes",
    "choose_partners",
]
