"""Summary of a closed chunk in the record of its job."""

__all__ = ["ClosedChunk"]


class ClosedChunk:
    """Counts of a chunk whose results are final.

    Parameters
    ----------
    parts : int
        Number of parts that form the results; later parts are ignored.
    completed, failed : int
        Number of items that completed or failed.
    output_bytes, error_bytes : int
        Size in bytes of the lines in the output and the error file.
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
        """Return the counts as a list for JSON."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def load(cls, values):
        """Build the counts from a list.

        Parameters
        ----------
        values : list of int
            Counts as returned by `dump`.

        Returns
        -------
        ClosedChunk
        """
        return cls(**dict(zip(cls.__slots__, values, strict=True)))
