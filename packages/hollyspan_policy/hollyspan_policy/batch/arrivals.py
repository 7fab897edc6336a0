"""Estimate of how many online requests arrive at once."""

import math

__all__ = ["ArrivalEstimator"]

MEMORY_SECONDS = 60.0
RATE_SECONDS = 1.0


class ArrivalEstimator:
    """Distribution of the online arrivals within one reaction time.

    Parameters
    ----------
    window : float
        Reaction time, seconds: from an arrival until a preempted batch
        stream has freed its slot.
    memory : float, optional
        Time constant of the long-run distribution, seconds.
    rate_memory : float, optional
        Time constant of the arrival rate, seconds.

    Notes
    -----
    Two estimates stand beside each other. A histogram of the arrivals in
    consecutive windows, its weights decaying exponentially, remembers the
    bursts of the last minutes. A short-run arrival rate, taken as the mean of
    a Poisson distribution, follows a burst that has just begun. The larger
    quantile of the two counts.

    Examples
    --------
    >>> arrivals = ArrivalEstimator(window=0.1)
    >>> arrivals.observe(3, now=0.0)
    >>> arrivals.estimate_quantile(0.99, now=0.2)
    3
    """

    __slots__ = (
        "window",
        "decay",
        "rate_memory",
        "weights",
        "current",
        "started",
        "rate",
        "updated",
    )

    def __init__(
        self,
        *,
        window,
        memory=MEMORY_SECONDS,
        rate_memory=RATE_SECONDS,
    ):
        self.window = window
        self.decay = math.exp(-window / memory)
        self.rate_memory = rate_memory
        self.weights = [0.0]
        self.current = 0
        self.started = None
        self.rate = 0.0
        self.updated = None

    def observe(self, arrivals, *, now):
        """Note arrivals.

        Parameters
        ----------
        arrivals : int
        now : float
            Monotonic seconds.
        """
        self.advance(now=now)
        self.current += arrivals
        self.rate += arrivals / self.rate_memory

    def advance(self, *, now):
        """Close the windows that have ended.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.started is None:
            self.started = now
            self.updated = now
            return
        elapsed = max(0.0, now - self.updated)
        self.rate *= math.exp(-elapsed / self.rate_memory)
        self.updated = max(now, self.updated)
        ended = int((now - self.started) / self.window)
        if ended <= 0:
            return
        self.started += ended * self.window
        self.close_window()
        self.close_empty(ended - 1)

    def close_window(self):
        """Put the current window into the histogram."""
        self.weights = [weight * self.decay for weight in self.weights]
        while len(self.weights) <= self.current:
            self.weights.append(0.0)
        self.weights[self.current] += 1.0
        self.current = 0

    def close_empty(self, count):
        """Put windows without arrivals into the histogram.

        Parameters
        ----------
        count : int
        """
        faded = self.decay**count
        self.weights = [weight * faded for weight in self.weights]
        self.weights[0] += (1 - faded) / (1 - self.decay)

    def estimate_quantile(self, level, *, now):
        """Estimate a quantile of the arrivals within one window.

        Parameters
        ----------
        level : float
            From 0 to 1.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        self.advance(now=now)
        return max(
            find_weighted_quantile(self.weights, level),
            find_poisson_quantile(self.rate * self.window, level),
        )


def find_weighted_quantile(weights, level):
    wanted = level * sum(weights)
    reached = 0.0
    for count, weight in enumerate(weights):
        reached += weight
        if reached >= wanted:
            return count
    return len(weights) - 1


def find_poisson_quantile(mean, level):
    # The bound on the count keeps rounding from making the loop endless.
    bound = math.ceil(mean + 10 * math.sqrt(mean) + 10)
    term = math.exp(-mean)
    reached = term
    count = 0
    while reached < level and count < bound:
        count += 1
        term *= mean / count
        reached += term
    return count
