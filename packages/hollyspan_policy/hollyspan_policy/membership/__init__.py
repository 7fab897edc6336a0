"""Which daemons are live."""

from .member import Member
from .partners import choose_partners
from .probes import Probes
from .table import MemberTable

__all__ = ["Member", "MemberTable", "Probes", "choose_partners"]
