"""Streams at an upstream that no daemon has announced."""

import collections

__all__ = ["HiddenStreams"]

REQUIRED_REPORTS = 3


class HiddenStreams:
    """Number of streams in the load reports in excess of the announced ones.

    Notes
    -----
    A single report is older than the announced counts and may include
    streams that have just ended. Streams that all of the last reports include
    do exist: streams of a failed daemon occupy their slots until they end.

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
        self.samples = collections.deque(maxlen=REQUIRED_REPORTS)

    def observe(self, count):
        """Record the unannounced streams of one load report.

        Parameters
        ----------
        count : int
            Reported minus announced streams; negative values count as 0.
        """
        self.samples.append(max(0, count))

    def count(self):
        """Count the unannounced streams present in all of the last reports.

        Returns
        -------
        int
        """
        if len(self.samples) < REQUIRED_REPORTS:
            return 0
        return min(self.samples)

    def count_last(self):
        """Count the unannounced streams of the last report.

        Returns
        -------
        int
        """
        return self.samples[-1] if self.samples else 0
