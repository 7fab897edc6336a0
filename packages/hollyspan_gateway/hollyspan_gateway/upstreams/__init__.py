"""Upstreams, their load, and the placement of work on them."""

from .batch_placement import BatchPlacement
from .departures import Departures
from .directory import Directory
from .directory import EXPIRY_GRACE_S
from .load_report import describe_report
from .load_report import LoadReport
from .load_reports import LoadReports
from .pace import build_pace_report
from .pace_report import PaceReport
from .placement import Placement
from .rate_limit import LimitReport
from .rate_limits import RateLimits
from .reach import Reach
from .shortages import Shortages
from .speeds import Speeds
from .told_limits import apply_limits
from .told_limits import is_limited
from .upstream import Upstream
from .upstream import UpstreamEntry

__all__ = [
    "BatchPlacement",
    "Departures",
    "Directory",
    "EXPIRY_GRACE_S",
    "LimitReport",
    "LoadReport",
    "LoadReports",
    "PaceReport",
    "Placement",
    "RateLimits",
    "Reach",
    "Shortages",
    "Speeds",
    "Upstream",
    "UpstreamEntry",
    "describe_report",
    "apply_limits",
    "build_pace_report",
    "is_limited",
]
