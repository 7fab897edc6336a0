"""Membership states of a daemon."""

import enum

__all__ = ["MemberState"]


class MemberState(enum.Enum):
    """State of a daemon, derived from its heartbeats or their absence."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    FAILED = "failed"
