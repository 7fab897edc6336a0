"""Limits on what a daemon reads."""

from hollyspan_policy.intake import ByteBudget
from hollyspan_policy.intake import IntakeLimits
from hollyspan_policy.intake import WorkShares

__all__ = [
    "ANSWERS_KEPT",
    "CACHE_EVENTS",
    "CALLERS_KEPT",
    "CONTROL_KEPT",
    "ERROR_ANSWER",
    "EVENTS_KEPT",
    "FREE_BYTES",
    "HEAD",
    "INSTANCE_LIST",
    "KEPT_STREAM",
    "MIN_CHARGE_PIECES",
    "ORDER_ANSWER",
    "SERVICE_ANSWER",
    "STATE_REPORT",
    "STORE_ANSWER",
    "STREAM",
    "TURN_PIECES",
    "UNUSED_ANSWER",
    "WATCH_LINE",
    "build_shares",
]

# What a parser handles at once may be small now and then, but not on average.
SPARE_PIECES = 4096
BYTES_PER_PIECE = 16

# Work that one program may cause: 64 streams of 50 tokens a second, each of
# which is read, is a chunk and is an event. All that exceed it have it once.
SENDER_PIECES_PER_S = 10_000.0
SENDER_BURST_PIECES = 4_000.0
MIN_CHARGE_PIECES = 32
# Work of one turn of the loop. A read of 64 kB without small pieces is one.
TURN_PIECES = 64


def build_shares():
    """Return the shares of the loop's work for connections of one kind."""
    return WorkShares(
        rate=SENDER_PIECES_PER_S,
        burst=SENDER_BURST_PIECES,
        excess_rate=SENDER_PIECES_PER_S,
    )


def build_limits(what, content_bytes):
    return IntakeLimits(
        what=what,
        content_bytes=content_bytes,
        spare_pieces=SPARE_PIECES,
        bytes_per_piece=BYTES_PER_PIECE,
    )


# A piece of a head is a line.
HEAD = IntakeLimits(
    what="the head of an answer",
    content_bytes=65_536,
    spare_pieces=256,
    bytes_per_piece=64,
)
STATE_REPORT = build_limits("a report of an upstream's state", 65_536)
CACHE_EVENTS = build_limits("a list of cache events", 1_000_000)
ORDER_ANSWER = build_limits("the answer to an order", 65_536)
ERROR_ANSWER = build_limits("an engine's answer without events", 1_000_000)
UNUSED_ANSWER = build_limits("an answer that is not used", 65_536)
SERVICE_ANSWER = build_limits("a plain service's answer", 16_000_000)
INSTANCE_LIST = build_limits("the instance list", 8_000_000)
# Eight parts of results of 1 MB each, in base64.
STORE_ANSWER = build_limits("an answer of the store", 12_000_000)
# A change of the configuration and of its history, 1 MB each, in base64.
WATCH_LINE = build_limits("a line of a watch", 4_000_000)
# A stream is passed on while it is read.
STREAM = build_limits("a stream", 256_000_000)
KEPT_STREAM = build_limits("the events of a whole answer", 16_000_000)

# Bytes of each message that are kept without regard to the others, so that
# large messages leave room for usual ones.
FREE_BYTES = 65_536
# Control state and its input have 32 MB.
CONTROL_KEPT = ByteBudget(
    what="what is kept of control answers",
    limit=24_000_000,
    sender_limit=12_000_000,
)
ANSWERS_KEPT = ByteBudget(
    what="what is kept of answers",
    limit=32_000_000,
    sender_limit=16_000_000,
)
# Eight bodies of the largest size; a caller is known once its body is whole.
CALLERS_KEPT = ByteBudget(
    what="what is kept of callers' requests",
    limit=64_000_000,
    sender_limit=32_000_000,
)
EVENTS_KEPT = ByteBudget(
    what="what is kept of events",
    limit=32_000_000,
    sender_limit=16_000_000,
)
