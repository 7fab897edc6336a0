"""Order in which items of jobs are run."""

__all__ = ["RunTimes", "rank_item"]

# Weight of one finished item in the moving means.
WEIGHT = 0.1
# Share of the expected run time, and seconds, by which an item is taken for
# late already: preemptions and the reading of its result take time too.
MARGIN_SHARE = 0.1
MARGIN_S = 0.3


class RunTimes:
    """Expected length of items, learned from those that have finished.

    Parameters
    ----------
    events : float
        Events of an item, until some have finished.
    event_seconds : float
        Seconds for one event.
    """

    __slots__ = ("events", "event_seconds")

    def __init__(self, *, events, event_seconds):
        self.events = events
        self.event_seconds = event_seconds

    def observe(self, *, events, seconds, run_events):
        """Learn from a finished item.

        Parameters
        ----------
        events : int
            Events of the whole item.
        seconds : float
            Time of its last run.
        run_events : int
            Events of its last run.
        """
        self.events += WEIGHT * (events - self.events)
        if run_events > 0:
            spent = seconds / run_events
            self.event_seconds += WEIGHT * (spent - self.event_seconds)

    def estimate_left(self, generated):
        """Estimate the run time that is left.

        Parameters
        ----------
        generated : int
            Events that have come.

        Returns
        -------
        float
            Seconds.
        """
        return max(1.0, self.events - generated) * self.event_seconds


def rank_item(*, due, left_seconds, now):
    """Return the sort key of an item; the smallest is run first.

    Parameters
    ----------
    due : float
        Due time of its job.
    left_seconds : float
        Expected run time that is left.
    now : float

    Returns
    -------
    tuple of (bool, float, float)

    Notes
    -----
    Load pattern: more jobs than the fleet can finish in time, and waves of
    online requests that stop all batch work for seconds. By due time alone
    each job is served just as it becomes late, and in the end all are [1]_.
    Items that are late whatever is done give way to those that can still be
    in time. Of these the one with the least left to run goes first, which
    finishes the most; fresh items go by due time.

    References
    ----------
    .. [1] C. D. Locke, "Best-effort decision making for real-time
       scheduling", thesis, Carnegie Mellon University, 1986.

    Examples
    --------
    >>> soon = rank_item(due=10.0, left_seconds=5.0, now=4.0)
    >>> missed = rank_item(due=8.0, left_seconds=5.0, now=4.0)
    >>> soon < missed
    True
    """
    needed = left_seconds * (1 + MARGIN_SHARE) + MARGIN_S
    return due - now < needed, round(left_seconds), due
