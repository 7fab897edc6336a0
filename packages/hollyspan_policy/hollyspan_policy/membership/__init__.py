"""Which daemons are live."""

from .member import Member
from .table import MemberTable

__all__ = ["Member", "MemberTable"]
