"""Steps of a planned stop."""

import enum

__all__ = ["DrainAction"]


class DrainAction(enum.Enum):
    """What a stopping daemon does next."""

    TELL_PEERS = "tell_peers"
    STOP_BATCH = "stop_batch"
    RELEASE_CLAIMS = "release_claims"
    ACCEPT = "accept"
    CLOSE_IDLE = "close_idle"
    WAIT = "wait"
    EXIT = "exit"
