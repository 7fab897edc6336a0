"""Record of the custom_ids of a file."""

import array

import xxhash

__all__ = ["IdentifierTable"]

BUCKETS = 256


class IdentifierTable:
    """Finds an identifier that stands twice in a file.

    Notes
    -----
    Holds a 64-bit digest and a line number for each identifier: 12 bytes an
    item, 11 MB for 910,000 items. Two different identifiers share a digest
    with a probability of 2e-8 over 910,000 items; the file is refused then.
    """

    __slots__ = ("digests", "lines")

    def __init__(self):
        self.digests = [array.array("Q") for _ in range(BUCKETS)]
        self.lines = [array.array("I") for _ in range(BUCKETS)]

    def add(self, identifier, *, line):
        """Note an identifier.

        Parameters
        ----------
        identifier : str
        line : int
            Number of its line.
        """
        content = identifier.encode("utf-8", "surrogatepass")
        digest = xxhash.xxh3_64_intdigest(content)
        self.digests[digest % BUCKETS].append(digest)
        self.lines[digest % BUCKETS].append(line)

    def find_duplicate(self):
        """Find the first line whose identifier stands in an earlier line.

        Returns
        -------
        int or None
            Its number.
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
