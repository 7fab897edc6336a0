"""Streams at an upstream that no daemon tells of."""

import collections

__all__ = ["HiddenStreams"]

SAMPLES = 3


class HiddenStreams:
    """Streams that the last load reports show beyond the told ones.

    Notes
    -----
    A single report is older than the told counts and shows streams that
    have just ended. What all of the last reports show is there: streams of
    a daemon that failed hold their slots until they end.

    Examples
    --------
    >>> hidden = HiddenStreams()
    >>> for count in (5, 0, 3, 2, 4):
    ...     hidden.observe(count)
    >>> hidden.count()
    2
    """

    __slots__ = ("samples",)

    def __init__(self):
        self.samples = collections.deque(maxlen=SAMPLES)

    def observe(self, count):
        """Note the streams that one report shows beyond the told ones.

        Parameters
        ----------
        count : int
            Below 0 counts as 0.
        """
        self.samples.append(max(0, count))

    def count(self):
        """Count the streams that all of the last reports show.

        Returns
        -------
        int
        """
        if len(self.samples) < SAMPLES:
            return 0
        return min(self.samples)

    def count_last(self):
        """Count the streams that the last report shows.

        Returns
        -------
        int
        """
        return self.samples[-1] if self.samples else 0
