"""Random times of arrivals."""

__all__ = ["generate_arrivals"]


def generate_arrivals(random, *, rate, seconds, mix):
    """Return the times of arrivals, ascending from 0.

    Parameters
    ----------
    random : random.Random
    rate : float
        Mean arrivals per second outside bursts and idle intervals.
    seconds : float
        Length of the run, in seconds.
    mix : Mix

    Returns
    -------
    list of float

    Notes
    -----
    Arrivals are a Poisson process whose rate is multiplied in bursts and 0
    in idle intervals. Bursts and idle intervals start at the times of two
    further Poisson processes.
    """
    burst_intervals = generate_intervals(
        random, seconds, mix.burst_every_seconds, mix.burst_seconds
    )
    idle_intervals = generate_intervals(
        random, seconds, mix.idle_every_seconds, mix.idle_seconds
    )
    highest = rate * mix.burst_factor
    times = []
    now = random.expovariate(highest)
    while now < seconds:
        # Thinning: a candidate is accepted in proportion to the rate then.
        current_rate = compute_rate(
            now, rate, mix.burst_factor, burst_intervals, idle_intervals
        )
        if random.random() * highest < current_rate:
            times.append(now)
        now += random.expovariate(highest)
    return times


def generate_intervals(random, seconds, every, length):
    """Return intervals of a fixed length that start at random times.

    Parameters
    ----------
    random : random.Random
    seconds : float
        Intervals start before this time.
    every : float
        Mean time from the end of an interval to the next one, in seconds;
        0 for no intervals.
    length : float
        Length of an interval, in seconds.

    Returns
    -------
    list of (float, float)
        Start and end of each interval.
    """
    intervals = []
    if not every:
        return intervals
    start = random.expovariate(1.0 / every)
    while start < seconds:
        intervals.append((start, start + length))
        start += length + random.expovariate(1.0 / every)
    return intervals


def compute_rate(now, rate, factor, burst_intervals, idle_intervals):
    """Return the rate at a time; bursts override idle intervals."""
    if is_within(now, burst_intervals):
        return rate * factor
    return 0.0 if is_within(now, idle_intervals) else rate


def is_within(now, intervals):
    """Return whether a time lies in one of the intervals."""
    return any(start <= now < end for start, end in intervals)
