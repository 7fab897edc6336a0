"""Times of arrivals."""

__all__ = ["generate_arrivals"]


def generate_arrivals(random, *, rate, seconds, mix):
    """Return the times of arrivals, ascending from 0.

    Parameters
    ----------
    random : random.Random
    rate : float
        Mean arrivals a second outside bursts and gaps.
    seconds : float
        Length of the run.
    mix : Mix

    Returns
    -------
    list of float

    Notes
    -----
    A Poisson process whose rate is multiplied in bursts and 0 in idle
    gaps; the two start at times of Poisson processes of their own.
    """
    bursts = generate_spans(
        random, seconds, mix.burst_every_seconds, mix.burst_seconds
    )
    gaps = generate_spans(
        random, seconds, mix.idle_every_seconds, mix.idle_seconds
    )
    highest = rate * mix.burst_factor
    times = []
    now = random.expovariate(highest)
    while now < seconds:
        # Thinning: each candidate is kept in proportion to the rate there.
        wanted = find_rate(now, rate, mix.burst_factor, bursts, gaps)
        if random.random() * highest < wanted:
            times.append(now)
        now += random.expovariate(highest)
    return times


def generate_spans(random, seconds, every, length):
    """Return spans of a length that start at random times."""
    spans = []
    if not every:
        return spans
    start = random.expovariate(1.0 / every)
    while start < seconds:
        spans.append((start, start + length))
        start += length + random.expovariate(1.0 / every)
    return spans


def find_rate(now, rate, factor, bursts, gaps):
    """Return the rate at a time; a burst goes before a gap."""
    if is_within(now, bursts):
        return rate * factor
    return 0.0 if is_within(now, gaps) else rate


def is_within(now, spans):
    """Return whether a time lies in one of some spans."""
    return any(start <= now < end for start, end in spans)
