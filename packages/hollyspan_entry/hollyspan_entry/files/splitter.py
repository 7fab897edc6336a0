"""Splitting of a file into chunks of whole lines."""

from hollyspan_core.errors import InputLineError

__all__ = ["ChunkSplitter"]

# A chunk must stay below the value limit of the store even if it is
# incompressible.
MAX_CHUNK_BYTES = 900_000
MAX_LINE_BYTES = MAX_CHUNK_BYTES
FIRST_CHUNK_ITEMS = 25
# Maximum size of a chunk as a share of the items before it.
MAX_CHUNK_SHARE = 1 / 8


class ChunkSplitter:
    """Splits a file into chunks of whole lines.

    Parameters
    ----------
    checker : LineChecker
        Validates each line.
    chunk_items : int
        Maximum number of items in a chunk.
    on_chunk : callable
        Called with the content (bytes) and the number of items of each
        complete chunk.

    Notes
    -----
    The first chunks are smaller, so that several daemons can share a short
    file; the length of the file is unknown until its end.
    """

    __slots__ = (
        "checker",
        "chunk_items",
        "on_chunk",
        "parts",
        "incomplete_bytes",
        "lines",
        "size",
        "items",
    )

    def __init__(self, *, checker, chunk_items, on_chunk):
        self.checker = checker
        self.chunk_items = chunk_items
        self.on_chunk = on_chunk
        self.parts = []
        self.incomplete_bytes = 0
        self.lines = []
        self.size = 0
        self.items = 0

    def feed(self, data):
        """Process the next bytes of the file.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        InputLineError
            A line is invalid or too long.
        """
        *lines, rest = data.split(b"\n")
        for line in lines:
            self.keep_part(line)
            self.add(self.take_line() + b"\n")
        self.keep_part(rest)
        self.check_length(self.incomplete_bytes)

    def finish(self):
        """Process the last line and emit the last chunk."""
        if self.incomplete_bytes:
            self.add(self.take_line())
        self.flush()
        self.checker.finish()

    def keep_part(self, data):
        """Keep a part of an incomplete line; the whole is joined once."""
        if data:
            self.parts.append(data)
            self.incomplete_bytes += len(data)

    def take_line(self):
        """Return the parts of a line that is complete."""
        line = b"".join(self.parts)
        self.parts = []
        self.incomplete_bytes = 0
        return line

    def add(self, line):
        self.check_length(len(line))
        if self.size + len(line) > MAX_CHUNK_BYTES:
            self.flush()
        self.items += self.checker.check(line)
        self.lines.append(line)
        self.size += len(line)
        if self.items >= self.compute_chunk_limit():
            self.flush()

    def compute_chunk_limit(self):
        """Return the maximum number of items in the current chunk."""
        before = self.checker.items - self.items
        share = max(FIRST_CHUNK_ITEMS, int(before * MAX_CHUNK_SHARE))
        return min(self.chunk_items, share)

    def flush(self):
        if self.lines:
            self.on_chunk(b"".join(self.lines), self.items)
        self.lines = []
        self.size = 0
        self.items = 0

    def check_length(self, size):
        if size > MAX_LINE_BYTES:
            raise InputLineError(
                f"line {self.checker.line + 1}: longer than "
                f"{MAX_LINE_BYTES} bytes",
                param="file",
            )
