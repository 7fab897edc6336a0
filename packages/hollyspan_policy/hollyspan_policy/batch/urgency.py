"""Scheduling order of batch items."""

__all__ = ["RunTimeEstimator", "rank_item"]

# Weight of one finished item in the exponential moving averages.
MEAN_UPDATE_WEIGHT = 0.1
# Safety margin, as a fraction of the expected run time and in seconds, for
# classifying an item as late: preemptions and the reading of its result take
# time too.
LATENESS_MARGIN_FRACTION = 0.1
LATENESS_MARGIN_S = 0.3


class RunTimeEstimator:
    """Estimate of the run time of items from finished ones.

    Parameters
    ----------
    events : float
        Initial estimate of the events of an item.
    event_seconds : float
        Initial estimate of the time for one event, seconds.
    """

    __slots__ = ("events", "event_seconds")

    def __init__(self, *, events, event_seconds):
        self.events = events
        self.event_seconds = event_seconds

    def observe(self, *, events, seconds, run_events):
        """Update the estimates with a finished item.

        Parameters
        ----------
        events : int
            Number of events of the whole item.
        seconds : float
            Duration of its last run, seconds.
        run_events : int
            Number of events of its last run.
        """
        self.events += MEAN_UPDATE_WEIGHT * (events - self.events)
        if run_events > 0:
            seconds_per_event = seconds / run_events
            self.event_seconds += MEAN_UPDATE_WEIGHT * (
                seconds_per_event - self.event_seconds
            )

    def estimate_remaining_seconds(self, generated):
        """Estimate the remaining run time of an item.

        Parameters
        ----------
        generated : int
            Number of events received so far.

        Returns
        -------
        float
            Seconds.
        """
        return max(1.0, self.events - generated) * self.event_seconds


def rank_item(*, due, remaining_seconds, now):
    """Compute the sort key of an item; the item with the smallest runs first.

    Parameters
    ----------
    due : float
        Due time of the item's job.
    remaining_seconds : float
        Expected remaining run time, seconds.
    now : float
        Current time, on the same clock as `due`.

    Returns
    -------
    tuple of (bool, float, float)

    Notes
    -----
    Load pattern: more jobs than the fleet can finish in time, and waves of
    online requests that stop all batch work for seconds. In order of due time
    alone, each job is served just when it becomes late, and in the end all
    jobs are late [1]_. Therefore items that cannot finish in time any more
    rank behind items that can. Among the latter, the shortest remaining run
    time comes first, which finishes the most items; new items, whose estimates
    are equal, are ordered by due time.

    References
    ----------
    .. [1] C. D. Locke, "Best-effort decision making for real-time
       scheduling", thesis, Carnegie Mellon University, 1986.

    Examples
    --------
    >>> soon = rank_item(due=10.0, remaining_seconds=5.0, now=4.0)
    >>> missed = rank_item(due=8.0, remaining_seconds=5.0, now=4.0)
    >>> soon < missed
    True
    """
    needed_seconds = (
        remaining_seconds * (1 + LATENESS_MARGIN_FRACTION) + LATENESS_MARGIN_S
    )
    return due - now < needed_seconds, round(remaining_seconds), due
