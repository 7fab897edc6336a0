"""Steps of a planned shutdown."""

import enum

__all__ = ["DrainAction"]


class DrainAction(enum.Enum):
    """One step of a daemon that shuts down."""

    NOTIFY_PEERS = "tell_peers"
    STOP_BATCH = "stop_batch"
    RELEASE_CLAIMS = "release_claims"
    ACCEPT = "accept"
    CLOSE_IDLE = "close_idle"
    WAIT = "wait"
    EXIT = "exit"
