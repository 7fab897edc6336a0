"""Cutting of a file into chunks of whole lines."""

from hollyspan_core.errors import InputLineError

__all__ = ["ChunkSplitter"]

# A chunk must stay below the store's limit even where it does not compress.
MAX_CHUNK_BYTES = 900_000
MAX_LINE_BYTES = MAX_CHUNK_BYTES
FIRST_CHUNK_ITEMS = 25
# Of the items before it, a chunk takes this share at most.
CHUNK_SHARE = 1 / 8


class ChunkSplitter:
    """Cuts a file into chunks of whole lines.

    Parameters
    ----------
    checker : LineChecker
    chunk_items : int
        Most items in a chunk.
    on_chunk : callable
        Called with each whole chunk, bytes, and the count of its items.

    Notes
    -----
    The first chunks are smaller, so that several daemons can share a short
    file; the length of the file is not known before its end.
    """

    __slots__ = (
        "checker",
        "chunk_items",
        "on_chunk",
        "rest",
        "lines",
        "size",
        "items",
    )

    def __init__(self, *, checker, chunk_items, on_chunk):
        self.checker = checker
        self.chunk_items = chunk_items
        self.on_chunk = on_chunk
        self.rest = b""
        self.lines = []
        self.size = 0
        self.items = 0

    def feed(self, data):
        """Take in the next bytes of the file.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        InputLineError
            A line is invalid or too long.
        """
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.add(line + b"\n")
        self.check_length(self.rest)

    def finish(self):
        """Take in the last line and hand on the last chunk."""
        if self.rest:
            self.add(self.rest)
            self.rest = b""
        self.flush()
        self.checker.finish()

    def add(self, line):
        self.check_length(line)
        if self.size + len(line) > MAX_CHUNK_BYTES:
            self.flush()
        self.items += self.checker.check(line)
        self.lines.append(line)
        self.size += len(line)
        if self.items >= self.find_limit():
            self.flush()

    def find_limit(self):
        """Return the most items of the current chunk."""
        before = self.checker.items - self.items
        share = max(FIRST_CHUNK_ITEMS, int(before * CHUNK_SHARE))
        return min(self.chunk_items, share)

    def flush(self):
        if self.lines:
            self.on_chunk(b"".join(self.lines), self.items)
        self.lines = []
        self.size = 0
        self.items = 0

    def check_length(self, line):
        if len(line) > MAX_LINE_BYTES:
            raise InputLineError(
                f"line {self.checker.line + 1}: longer than "
                f"{MAX_LINE_BYTES} bytes",
                param="file",
            )
