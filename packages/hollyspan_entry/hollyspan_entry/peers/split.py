"""Splitting of heartbeats and notices into datagrams."""

from hollyspan_core.messages import BatchStreams
from hollyspan_core.messages import Heartbeat

__all__ = ["split_heartbeat", "split_loads"]

MAX_DATAGRAM_BYTES = 1_400
# Upper estimates of encoded sizes.
BASE_BYTES = 300
ITEM_BYTES = 24
REMOTE_BYTES = 120
NUMBER_BYTES = 6
FIELDS = (
    "in_flight",
    "leaving_upstreams",
    "cancelled_jobs",
    "remotes",
    "reports",
    "batch_streams",
)


def split_heartbeat(heartbeat):
    """Split a heartbeat so that each part fits one datagram.

    Parameters
    ----------
    heartbeat : Heartbeat

    Returns
    -------
    list of Heartbeat
        At least one part, all with the same sender.
    """
    parts = [Heartbeat(sender=heartbeat.sender)]
    size = BASE_BYTES
    for field in FIELDS:
        for item in getattr(heartbeat, field):
            size += estimate_size(item)
            if size > MAX_DATAGRAM_BYTES:
                parts.append(Heartbeat(sender=heartbeat.sender))
                size = BASE_BYTES + estimate_size(item)
            previous = getattr(parts[-1], field)
            setattr(parts[-1], field, (*previous, item))
    return parts


def split_loads(loads):
    """Split the loads of a notice so that each part fits one datagram.

    Parameters
    ----------
    loads : iterable of InFlight

    Returns
    -------
    list of list of InFlight
        At least one part, which may be empty.
    """
    parts = [[]]
    size = BASE_BYTES
    for load in loads:
        size += estimate_size(load)
        if size > MAX_DATAGRAM_BYTES:
            parts.append([])
            size = BASE_BYTES + estimate_size(load)
        parts[-1].append(load)
    return parts


def estimate_size(item):
    if isinstance(item, str):
        return ITEM_BYTES + count_bytes(item)
    if isinstance(item, BatchStreams):
        numbers = NUMBER_BYTES * (2 + len(item.running))
        return ITEM_BYTES + count_bytes(item.upstream) + numbers
    if hasattr(item, "upstream"):
        return ITEM_BYTES + count_bytes(item.upstream)
    texts = (item.instance, item.data_centre, item.region, item.peer_address)
    return REMOTE_BYTES + sum(count_bytes(text) for text in texts)


def count_bytes(text):
    return len(text.encode())
