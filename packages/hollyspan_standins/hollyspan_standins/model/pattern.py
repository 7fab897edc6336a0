"""Load patterns: what comes when, and what is lost."""

import random

__all__ = [
    "Arrival",
    "JobArrival",
    "LoadPattern",
    "PATTERNS",
    "build_pattern",
]

# Of the users' sites: waves of 1.87 times the mean for 2.4 s of every 5.8 s.
WAVE_PERIOD_S = 5.8
WAVE_S = 2.4
WAVE_HIGH = 1.87
WAVE_LOW = 0.383
# A burst at one data centre, times its mean.
BURST_X = 4.0
BURST_S = 3.0
# Parts of a prompt in tokens, and how many different shared parts there are.
SHARED_TOKENS = 200
SHARED_PARTS = 64
OWN_TOKENS = 250
ONLINE_TOKENS = 267
ITEM_TOKENS = 1840
# Deviation of the number of tokens, as a share of the mean.
TOKENS_SPREAD = 0.25
ITEMS_IN_JOB = 10
JOB_DUE_S = 18.0


class Arrival:
    """A request of a client.

    Parameters
    ----------
    at : float
        Seconds from the start.
    data_centre : str
    parts : tuple of (str, int)
        Parts of its prompt, with their tokens.
    tokens : int
        Tokens of its answer.
    """

    __slots__ = ("at", "data_centre", "parts", "tokens")

    def __init__(self, *, at, data_centre, parts, tokens):
        self.at = at
        self.data_centre = data_centre
        self.parts = parts
        self.tokens = tokens


class JobArrival:
    """A batch job.

    Parameters
    ----------
    at, due : float
        Seconds from the start.
    items : list of (tuple, int)
        Parts of the prompt and tokens of the answer of each item.
    """

    __slots__ = ("at", "due", "items")

    def __init__(self, *, at, due, items):
        self.at = at
        self.due = due
        self.items = items


class LoadPattern:
    """What meets a fleet in one run.

    Parameters
    ----------
    seconds : float
    arrivals : list of Arrival
    jobs : list of JobArrival
    losses : list of (float, int)
        Time and number of the upstreams that are lost for good then.
    skew : float
        Connections of the first gateway, times its share.
    """

    __slots__ = ("seconds", "arrivals", "jobs", "losses", "skew")

    def __init__(self, *, seconds, arrivals, jobs, losses=(), skew=1.0):
        self.seconds = seconds
        self.arrivals = arrivals
        self.jobs = jobs
        self.losses = list(losses)
        self.skew = skew


def measure_wave(at):
    """Return the load of the waves at a time, times the mean."""
    is_high = at % WAVE_PERIOD_S >= WAVE_PERIOD_S - WAVE_S
    return WAVE_HIGH if is_high else WAVE_LOW


def draw_tokens(chance, mean):
    drawn = chance.gauss(1.0, TOKENS_SPREAD) * mean
    return max(1, round(min(1.6 * mean, drawn)))


def draw_arrivals(chance, *, seconds, rate, data_centres, measure):
    """Draw a Poisson process whose rate follows a function of time.

    Parameters
    ----------
    chance : random.Random
    seconds : float
    rate : float
        Mean requests a second of one data centre.
    data_centres : list of str
    measure : callable
        Called with a time and a data centre, returns the rate there, times
        the mean.

    Returns
    -------
    list of Arrival
        In order of time.
    """
    most = max(WAVE_HIGH, BURST_X)
    arrivals = []
    for data_centre in data_centres:
        at = 0.0
        while True:
            at += chance.expovariate(rate * most)
            if at >= seconds:
                break
            if chance.random() * most < measure(at, data_centre):
                arrivals.append(draw_arrival(chance, at, data_centre))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def draw_arrival(chance, at, data_centre):
    shared = f"shared-{chance.randrange(SHARED_PARTS)}"
    own = f"own-{chance.getrandbits(40):x}"
    return Arrival(
        at=at,
        data_centre=data_centre,
        parts=((shared, SHARED_TOKENS), (own, OWN_TOKENS)),
        tokens=draw_tokens(chance, ONLINE_TOKENS),
    )


def draw_jobs(chance, times):
    """Draw a job for each time."""
    return [
        JobArrival(
            at=at,
            due=at + JOB_DUE_S,
            items=[
                (
                    ((f"own-{chance.getrandbits(40):x}", OWN_TOKENS),),
                    draw_tokens(chance, ITEM_TOKENS),
                )
                for _ in range(ITEMS_IN_JOB)
            ],
        )
        for at in times
    ]


def spread_times(seconds, jobs):
    """Spread the times of jobs evenly over the first half of a run."""
    return [0.5 * seconds * number / jobs for number in range(jobs)]


def build_load(chance, measure, *, seconds, rate, data_centres, jobs):
    """Requests whose rate follows a function, and jobs one after the other."""
    arrivals = draw_arrivals(
        chance,
        seconds=seconds,
        rate=rate,
        data_centres=data_centres,
        measure=measure,
    )
    return LoadPattern(
        seconds=seconds,
        arrivals=arrivals,
        jobs=draw_jobs(chance, spread_times(seconds, jobs)),
    )


def build_wave(chance, **scale):
    """Waves, with jobs that come one after the other."""
    return build_load(chance, lambda at, _: measure_wave(at), **scale)


def build_burst(chance, *, seconds, data_centres, **scale):
    """Steady load, and a burst at one data centre in the middle."""
    middle = seconds / 2

    def measure(at, data_centre):
        is_burst = middle <= at < middle + BURST_S
        return BURST_X if is_burst and data_centre == data_centres[0] else 1.0

    return build_load(
        chance, measure, seconds=seconds, data_centres=data_centres, **scale
    )


def build_job_rush(chance, *, jobs, **scale):
    """Waves, with all jobs at the start."""
    pattern = build_wave(chance, jobs=0, **scale)
    pattern.jobs = draw_jobs(chance, [0.0] * jobs)
    return pattern


def build_loss(chance, **scale):
    """Waves, in one of which some upstreams are lost for good."""
    pattern = build_wave(chance, **scale)
    peak = WAVE_PERIOD_S - WAVE_S / 2
    pattern.losses = [(peak + 0.1 * number, number) for number in range(2)]
    return pattern


def build_skew(chance, **scale):
    """Waves, with one gateway that has three times its share."""
    pattern = build_wave(chance, **scale)
    pattern.skew = 3.0
    return pattern


PATTERNS = {
    "wave": build_wave,
    "burst": build_burst,
    "jobs": build_job_rush,
    "loss": build_loss,
    "skew": build_skew,
}


def build_pattern(name, *, seed, seconds, rate, data_centres, jobs):
    """Build a load pattern; the same seed gives the same one.

    Parameters
    ----------
    name : str
        One of PATTERNS.
    seed : int
    seconds : float
    rate : float
        Mean online requests a second of one data centre.
    data_centres : list of str
    jobs : int

    Returns
    -------
    LoadPattern
    """
    chance = random.Random(f"{name}/{seed}")
    return PATTERNS[name](
        chance,
        seconds=seconds,
        rate=rate,
        data_centres=data_centres,
        jobs=jobs,
    )
