"""Encoding of a job's record in parts."""

import base64
import json
import zlib

__all__ = ["MAX_PART_BYTES", "RecordEncoding"]

# A value, including the writer's token, is limited to one megabyte.
MAX_PART_BYTES = 900_000
COMPRESSION_LEVEL = 1


class RecordEncoding:
    """Record of a job, of which the fields beside the items come last.

    Parameters
    ----------
    items : iterable of Item
        With their bodies.

    Attributes
    ----------
    parts : list of bytes
        Complete parts, compressed.
    rest : bytearray
        Start of the next part.
    stream : zlib.Compress
        As it is behind the last item.

    Notes
    -----
    Items are encoded one by one, and the bodies are needed no longer, also
    where the other fields change and the record is written again.
    """

    __slots__ = ("parts", "rest", "stream")

    def __init__(self, *, items):
        self.parts = []
        self.rest = bytearray()
        self.stream = zlib.compressobj(COMPRESSION_LEVEL)
        self.add(self.stream.compress(b'{"items": ['))
        for number, item in enumerate(items):
            row = {
                "id": item.identifier,
                "path": item.path,
                "headers": item.headers,
                "body": base64.b64encode(item.body).decode(),
                "tokens": item.tokens,
            }
            text = json.dumps(row)
            self.add(
                self.stream.compress(
                    (f", {text}" if number else text).encode()
                )
            )

    def add(self, content):
        """Add compressed bytes."""
        self.rest += content
        while len(self.rest) >= MAX_PART_BYTES:
            self.parts.append(bytes(self.rest[:MAX_PART_BYTES]))
            del self.rest[:MAX_PART_BYTES]

    def finish(self, document):
        """Return the parts of the record.

        Parameters
        ----------
        document : dict
            Fields beside the items.

        Returns
        -------
        list of bytes
            The first byte of the first one is their number.
        """
        stream = self.stream.copy()
        end = json.dumps(document).removeprefix("{")
        end = stream.compress(f"], {end}".encode()) + stream.flush()
        tail = b"".join((self.rest, end))
        parts = self.parts + [
            tail[start : start + MAX_PART_BYTES]
            for start in range(0, len(tail), MAX_PART_BYTES)
        ]
        parts[0] = b"".join((bytes([len(parts)]), parts[0]))
        return parts
