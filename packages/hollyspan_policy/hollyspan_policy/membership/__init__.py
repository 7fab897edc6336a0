"""Which daemons are live."""

from .member import Member
from .partners import choose_partners
from .pause import PauseGuard
from .probes import Probes
from .state import MemberState
from .table import MemberTable

__all__ = [
    "Member",
    "MemberState",
    "MemberTable",
    "PauseGuard",
    "Probes",
    "choose_partners",
]
