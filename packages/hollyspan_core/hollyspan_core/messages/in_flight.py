"""Load of one daemon on one upstream."""

__all__ = ["InFlight"]


class InFlight:
    """Requests of one daemon in flight at one upstream.

    Parameters
    ----------
    upstream : str
    online, batch : int
        Number of requests of each class.
    """

    __slots__ = ("upstream", "online", "batch")

    def __init__(self, *, upstream, online, batch):
        self.upstream = upstream
        self.online = online
        self.batch = batch


def write_in_flight(loads, target):
    """Write loads to the list of a message builder."""
    for load, entry in zip(loads, target):
        entry.upstream = load.upstream
        entry.online = load.online
        entry.batch = load.batch


def read_in_flight(entries):
    """Return the loads in the list of a message reader."""
    return [
        InFlight(
            upstream=entry.upstream, online=entry.online, batch=entry.batch
        )
        for entry in entries
    ]
