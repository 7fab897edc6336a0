"""Which daemons are live."""

from .member import Member
from .pause import PauseGuard
from .state import MemberState
from .table import MemberTable

__all__ = ["Member", "MemberState", "MemberTable", "PauseGuard"]
