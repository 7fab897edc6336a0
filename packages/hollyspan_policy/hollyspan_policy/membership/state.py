"""States of a daemon as seen by another."""

import enum

__all__ = ["MemberState"]


class MemberState(enum.Enum):
    """What the heartbeats, or their absence, say of a daemon."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    FAILED = "failed"
