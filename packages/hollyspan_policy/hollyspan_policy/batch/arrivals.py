"""Estimate of the online arrivals within one reaction time."""

import math

__all__ = ["ArrivalEstimator"]

HISTOGRAM_TIME_CONSTANT_S = 60.0
RATE_TIME_CONSTANT_S = 1.0


class ArrivalEstimator:
    """Distribution of the online arrivals within one reaction time.

    Parameters
    ----------
    window : float
        Reaction time, seconds: from an arrival until a preempted batch
        stream has freed its slot.
    time_constant : float, optional
        Time constant of the histogram, seconds.
    rate_time_constant : float, optional
        Time constant of the arrival rate, seconds.

    Notes
    -----
    Two estimates are combined. A histogram of the arrivals in consecutive
    windows, with exponentially decaying weights, covers the bursts of the
    last minutes. A short-term arrival rate, used as the mean of a Poisson
    distribution, follows a burst that has just begun. The larger of the two
    quantiles is used.

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
        "rate_time_constant",
        "weights",
        "current_count",
        "window_start",
        "rate",
        "updated_at",
    )

    def __init__(
        self,
        *,
        window,
        time_constant=HISTOGRAM_TIME_CONSTANT_S,
        rate_time_constant=RATE_TIME_CONSTANT_S,
    ):
        self.window = window
        self.decay = math.exp(-window / time_constant)
        self.rate_time_constant = rate_time_constant
        self.weights = [0.0]
        self.current_count = 0
        self.window_start = None
        self.rate = 0.0
        self.updated_at = None

    def observe(self, arrivals, *, now):
        """Record arrivals.

        Parameters
        ----------
        arrivals : int
            Number of online requests that have arrived since the last call.
        now : float
            Monotonic seconds.
        """
        self.advance(now=now)
        self.current_count += arrivals
        self.rate += arrivals / self.rate_time_constant

    def advance(self, *, now):
        """Close the windows that have ended.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.window_start is None:
            self.window_start = now
            self.updated_at = now
            return
        elapsed = max(0.0, now - self.updated_at)
        self.rate *= math.exp(-elapsed / self.rate_time_constant)
        self.updated_at = max(now, self.updated_at)
        ended = int((now - self.window_start) / self.window)
        if ended <= 0:
            return
        self.window_start += ended * self.window
        self.close_window()
        self.close_empty_windows(ended - 1)

    def close_window(self):
        """Add the current window to the histogram."""
        self.weights = [weight * self.decay for weight in self.weights]
        while len(self.weights) <= self.current_count:
            self.weights.append(0.0)
        self.weights[self.current_count] += 1.0
        self.current_count = 0

    def close_empty_windows(self, count):
        """Add windows without arrivals to the histogram.

        Parameters
        ----------
        count : int
            Number of windows.
        """
        decayed = self.decay**count
        self.weights = [weight * decayed for weight in self.weights]
        self.weights[0] += (1 - decayed) / (1 - self.decay)

    def estimate_quantile(self, level, *, now):
        """Estimate a quantile of the arrivals within one window.

        Parameters
        ----------
        level : float
            Level of the quantile, from 0 to 1.
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
    target_weight = level * sum(weights)
    cumulative = 0.0
    for count, weight in enumerate(weights):
        cumulative += weight
        if cumulative >= target_weight:
            return count
    return len(weights) - 1


def find_poisson_quantile(mean, level):
    # The bound guarantees termination when rounding keeps the sum below level.
    bound = math.ceil(mean + 10 * math.sqrt(mean) + 10)
    term = math.exp(-mean)
    cumulative = term
    count = 0
    while cumulative < level and count < bound:
        count += 1
        term *= mean / count
        cumulative += term
    return count
