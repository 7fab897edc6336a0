"""Records in the result parts of a chunk and their encoding."""

import enum
import json

import zstandard

__all__ = [
    "ItemRecord",
    "RecordKind",
    "decode_part",
    "encode_line",
    "encode_part",
]

MAX_PART_CONTENT_BYTES = 64_000_000


class RecordKind(enum.Enum):
    """Kind of a record about an item."""

    COMPLETED = "completed"
    FAILED = "failed"
    STARTED = "started"
    # The item was marked as started but did not run.
    WITHDRAWN = "withdrawn"


class ItemRecord:
    """One record of a part.

    Parameters
    ----------
    item : int
        Index of the item in its chunk.
    kind : RecordKind
    line : dict or None, optional
        Line of the output or error file if the record is a result;
        identification of the claim if the record marks a start.
    """

    __slots__ = ("item", "kind", "line")

    def __init__(self, *, item, kind, line=None):
        self.item = item
        self.kind = kind
        self.line = line

    @property
    def is_result(self):
        """True when the record is the result of its item."""
        return self.kind in (RecordKind.COMPLETED, RecordKind.FAILED)


def encode_line(line):
    """Encode a line of the output or error file.

    Parameters
    ----------
    line : dict

    Returns
    -------
    bytes
    """
    return json.dumps(line).encode() + b"\n"


def encode_part(records):
    """Encode records as a compressed part.

    Parameters
    ----------
    records : list of ItemRecord

    Returns
    -------
    bytes
    """
    lines = [
        encode_line(
            {
                "item": record.item,
                "kind": record.kind.value,
                "line": record.line,
            }
        )
        for record in records
    ]
    return zstandard.ZstdCompressor().compress(b"".join(lines))


def decode_part(content):
    """Decode a compressed part.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    list of ItemRecord
    """
    decompressor = zstandard.ZstdDecompressor()
    lines = decompressor.decompress(
        content, max_output_size=MAX_PART_CONTENT_BYTES
    )
    documents = [json.loads(line) for line in lines.splitlines()]
    return [
        ItemRecord(
            item=document["item"],
            kind=RecordKind(document["kind"]),
            line=document["line"],
        )
        for document in documents
    ]
