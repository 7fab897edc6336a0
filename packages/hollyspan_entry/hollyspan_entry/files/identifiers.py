"""Detection of duplicate custom_ids in a file."""

import array

import xxhash

__all__ = ["IdentifierTable"]

BUCKET_COUNT = 256


class IdentifierTable:
    """Finds an identifier that occurs twice in a file.

    Notes
    -----
    The table stores a 64-bit digest and a line number for each identifier:
    12 bytes per item, 11 MB for 910,000 items. The probability that two
    different identifiers have the same digest is 2e-8 for 910,000 items; such
    a file is refused.
    """

    __slots__ = ("digests", "lines")

    def __init__(self):
        self.digests = [array.array("Q") for _ in range(BUCKET_COUNT)]
        self.lines = [array.array("I") for _ in range(BUCKET_COUNT)]

    def add(self, identifier, *, line):
        """Add an identifier.

        Parameters
        ----------
        identifier : str
        line : int
            Number of the line that contains it.
        """
        content = identifier.encode("utf-8", "surrogatepass")
        digest = xxhash.xxh3_64_intdigest(content)
        self.digests[digest % BUCKET_COUNT].append(digest)
        self.lines[digest % BUCKET_COUNT].append(line)

    def find_duplicate(self):
        """Find the first line that repeats an identifier.

        Returns
        -------
        int or None
            Number of the line, or None if all identifiers are different.
        """
        found = [
            find_in_bucket(digests, lines)
            for digests, lines in zip(self.digests, self.lines, strict=True)
            if len(set(digests)) < len(digests)
        ]
        return min(found, default=None)


def find_in_bucket(digests, lines):
    seen = set()
    for digest, line in zip(digests, lines, strict=True):
        if digest in seen:
            return line
        seen.add(digest)
    return None
