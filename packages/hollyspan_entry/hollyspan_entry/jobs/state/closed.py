"""What a job's record keeps of a chunk with all its results."""

__all__ = ["ClosedChunk"]


class ClosedChunk:
    """Counts of a chunk whose results are fixed.

    Parameters
    ----------
    parts : int
        Parts of the results that count; later ones are not read.
    completed, failed : int
        Items.
    output_bytes, error_bytes : int
        Size of the lines in the output and the error file.
    """

    __slots__ = (
        "parts",
        "completed",
        "failed",
        "output_bytes",
        "error_bytes",
    )

    def __init__(self, *, parts, completed, failed, output_bytes, error_bytes):
        self.parts = parts
        self.completed = completed
        self.failed = failed
        self.output_bytes = output_bytes
        self.error_bytes = error_bytes

    def dump(self):
        """Return the counts as a list, for JSON."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def load(cls, values):
        """Build from a list.

        Parameters
        ----------
        values : list of int

        Returns
        -------
        ClosedChunk
        """
        return cls(**dict(zip(cls.__slots__, values, strict=True)))
