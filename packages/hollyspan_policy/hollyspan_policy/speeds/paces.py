"""Speed of upstreams as measured from their answers."""

__all__ = ["EventPaces", "MIN_PACE_EVENTS"]

# Fewest events of a run that tell its pace.
MIN_PACE_EVENTS = 8
# Weight of one run in the average of its kind, and the number of runs before
# the average is used.
RUN_WEIGHT = 0.02
MIN_RUNS = 8
# Limit on the kinds that are told apart.
MAX_KINDS = 1024


class EventPaces:
    """Usual times between events, by the kind of request.

    Attributes
    ----------
    averages : dict
        Average seconds between events, and the number of runs, by kind.

    Notes
    -----
    Load pattern: upstreams of different speeds that serve requests of several
    kinds. The time between two events depends on the kind, so that only runs
    of the same kind are compared. It hardly depends on the load of an
    upstream that batches its steps.

    Examples
    --------
    >>> paces = EventPaces()
    >>> for _ in range(8):
    ...     compared = paces.compare("quote", 0.04)
    >>> round(paces.compare("quote", 0.06), 1)
    1.5
    """

    __slots__ = ("averages",)

    def __init__(self):
        self.averages = {}

    def compare(self, kind, seconds):
        """Compare the pace of a run with the usual one of its kind.

        Parameters
        ----------
        kind : str
        seconds : float
            Mean time between two of its events.

        Returns
        -------
        float or None
            1.0 for the usual pace, more for a slower one; None while the
            usual pace is not known.
        """
        average, runs = self.averages.get(kind, (seconds, 0))
        if not runs and len(self.averages) >= MAX_KINDS:
            return None
        is_known = runs >= MIN_RUNS and average > 0
        compared = seconds / average if is_known else None
        runs += 1
        average += max(RUN_WEIGHT, 1 / runs) * (seconds - average)
        self.averages[kind] = average, runs
        return compared
