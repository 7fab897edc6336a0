"""Kinds of answers that a gateway reads, with the limits on each."""

from hollyspan_policy.intake import IntakeLimits

__all__ = [
    "EVENT_STREAM",
    "FORWARDED_ANSWER",
    "FORWARDED_STREAM",
    "ITEM_RUN",
    "JOB_READ",
    "MAX_DOCUMENT_VALUES",
    "MAX_FAILURE_BYTES",
    "PLAIN_ANSWER",
    "PROBE",
    "REPORT",
    "SKIPPED_ANSWERS",
    "SNAPSHOT",
    "STORE_ANSWER",
    "STORE_KEPT_BYTES",
    "AnswerKind",
    "count_values",
]

MIB = 1024 * 1024
# Pieces that any answer may have: fields of its heads, and small chunks.
SPARE_PIECES = 128
# A proxy that splits the shortest event of a token in odd places leaves more
# bytes than this in a piece.
BYTES_PER_PIECE = 2
# Limit on the body in which a peer tells of a failure.
MAX_FAILURE_BYTES = 64 * 1024
# Limit on the values of a JSON document, which is parsed in one turn of the
# loop: that of 10,000 changes of a watch.
MAX_DOCUMENT_VALUES = 100_000
VALUE_STARTS = (b",", b"[", b"{")


class AnswerKind:
    """Kind of an answer.

    Parameters
    ----------
    limits : IntakeLimits
    is_kept : bool
        Whether the whole answer is kept until its end.
    has_events : bool
        Whether its content is split into events while it is read.
    """

    __slots__ = ("limits", "is_kept", "has_events")

    def __init__(self, *, limits, is_kept, has_events):
        self.limits = limits
        self.is_kept = is_kept
        self.has_events = has_events


def count_values(content):
    """Return the number of values in a JSON document, at most.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    int

    Examples
    --------
    >>> count_values(b'{"a": [1, 2], "b": {}}')
    5
    """
    return sum(content.count(start) for start in VALUE_STARTS)


def build_kind(what, content_bytes, *, is_kept=True, has_events=False):
    """Return a kind with a limit on its bytes."""
    limits = IntakeLimits(
        what=what,
        content_bytes=content_bytes,
        spare_pieces=SPARE_PIECES,
        bytes_per_piece=BYTES_PER_PIECE,
    )
    return AnswerKind(limits=limits, is_kept=is_kept, has_events=has_events)


# Far above the answers of plain services.
PLAIN_ANSWER = build_kind("an answer", 4 * MIB)
# Far above the longest stream of tokens.
EVENT_STREAM = build_kind(
    "a stream of events", 64 * MIB, is_kept=False, has_events=True
)
# Far above the output of an item.
ITEM_RUN = build_kind("a run of an item", 4 * MIB, has_events=True)
FORWARDED_ANSWER = build_kind("a peer's answer", 4 * MIB)
FORWARDED_STREAM = build_kind(
    "a peer's stream of events", 64 * MIB, is_kept=False, has_events=True
)
# A page has a megabyte and one value of a megabyte more, in base64.
STORE_ANSWER = build_kind("the store's answer", 8 * MIB)
# Bytes of the store's answers that are kept at once.
STORE_KEPT_BYTES = 24 * MIB
# All entries of a mirror, in base64.
SNAPSHOT = build_kind("a peer's snapshot", 8 * MIB)
# An output of an item with each character escaped.
JOB_READ = build_kind("a peer's answer to a read", 8 * MIB)
PROBE = build_kind("a peer's answer to a probe", 4096)
# One line for each of its requests.
REPORT = build_kind("an upstream's report", 64 * 1024)
# Answers to earlier requests that are read past on one connection.
SKIPPED_ANSWERS = build_kind("an answer to another request", 1_000_000)
