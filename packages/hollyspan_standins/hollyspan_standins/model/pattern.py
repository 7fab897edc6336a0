"""Load patterns: arrivals of requests and jobs, and losses of upstreams."""

import random

__all__ = [
    "Arrival",
    "JobArrival",
    "LoadPattern",
    "PATTERNS",
    "TOKENS_PER_EVENT",
    "build_pattern",
]

# As on the users' sites: 1.87 times the mean rate for 2.4 s of every 5.8 s.
WAVE_PERIOD_S = 5.8
WAVE_HIGH_S = 2.4
WAVE_HIGH_FACTOR = 1.87
WAVE_LOW_FACTOR = 0.383
# Rate of a burst at one data centre, as a multiple of its mean, and length.
BURST_FACTOR = 4.0
BURST_S = 3.0
# Speeds of uneven engines in turn, how many times as long work takes there at
# most because of what else runs on the machine, and the mean time between two
# changes of it.
UNEVEN_SPEEDS = (0.6, 1.0, 1.6)
MAX_CONTENTION = 2.5
CONTENTION_CHANGE_S = 0.3
MAX_ENGINES = 64
# Workspaces as on the users' sites, of which one to three at a time send up to
# six times their usual for some seconds.
WORKSPACES = 77
WORKSPACE_SKEW = 1.2
FLOODS = ((1, 6.0), (6, 6.0))
FLOOD_S = 8.0
# Upstreams that are lost during a flood.
LOST_IN_SHORTAGE = 2
# Time from the loss of an upstream until a new one has started: it ends in the
# next wave.
RESTART_S = 3.6
# Tokens in each part of a prompt, and the number of distinct shared parts.
SHARED_TOKENS = 200
SHARED_PARTS = 64
OWN_TOKENS = 250
ONLINE_TOKENS = 267
ITEM_TOKENS = 1840
# Standard deviation of the number of tokens, as a share of the mean.
TOKENS_DEVIATION = 0.25
ITEMS_PER_JOB = 10
# Tokens between consecutive events.
TOKENS_PER_EVENT = 10
JOB_DEADLINE_S = 18.0


class Arrival:
    """An online request of a client.

    Parameters
    ----------
    at : float
        Seconds from the start.
    data_centre : str
    parts : tuple of (str, int)
        Name and number of tokens of each part of the prompt.
    tokens : int
        Tokens of the answer.
    workspace : str or None
    """

    __slots__ = ("at", "data_centre", "parts", "tokens", "workspace")

    def __init__(self, *, at, data_centre, parts, tokens, workspace=None):
        self.at = at
        self.data_centre = data_centre
        self.parts = parts
        self.tokens = tokens
        self.workspace = workspace


class JobArrival:
    """A batch job.

    Parameters
    ----------
    at, due : float
        Times of submission and deadline, in seconds from the start.
    items : list of (tuple, int)
        Parts of the prompt and tokens of the answer of each item.
    """

    __slots__ = ("at", "due", "items")

    def __init__(self, *, at, due, items):
        self.at = at
        self.due = due
        self.items = items


class LoadPattern:
    """Arrivals and losses of one run.

    Parameters
    ----------
    seconds : float
        Length of the pattern.
    arrivals : list of Arrival
    jobs : list of JobArrival
    losses : list of (float, int)
        Time and index of each upstream that is lost permanently.
    restarts : list of (float, int, bool)
        Time and index of each upstream in whose place a new one starts, and
        whether that one is slow at first.
    skew : float
        Connections of the first gateway of each data centre, as a multiple
        of those of each other one.
    speeds : tuple of float or None
        Relative speeds of the engines in turn, instead of the usual ones.
    contention : list of (float, int, float)
        Time, index of an engine, and how many times as long work takes there
        from then on because of what else runs on its machine.
    workspaces : dict
        Usual requests a second of each workspace over the fleet, by name.
    flooding : collection of str
        Names of the workspaces that send more than their usual.
    """

    __slots__ = (
        "seconds",
        "arrivals",
        "jobs",
        "losses",
        "restarts",
        "skew",
        "speeds",
        "contention",
        "workspaces",
        "flooding",
    )

    def __init__(self, *, seconds, arrivals, jobs, losses=(), skew=1.0):
        self.seconds = seconds
        self.arrivals = arrivals
        self.jobs = jobs
        self.losses = list(losses)
        self.restarts = []
        self.skew = skew
        self.speeds = None
        self.contention = []
        self.workspaces = {}
        self.flooding = ()


def compute_wave_factor(at):
    """Return the rate of the waves at a time, as a multiple of the mean."""
    is_high = at % WAVE_PERIOD_S >= WAVE_PERIOD_S - WAVE_HIGH_S
    return WAVE_HIGH_FACTOR if is_high else WAVE_LOW_FACTOR


def draw_tokens(rng, mean):
    drawn = rng.gauss(1.0, TOKENS_DEVIATION) * mean
    return max(1, round(min(1.6 * mean, drawn)))


def draw_arrivals(rng, *, seconds, rate, data_centres, compute_factor):
    """Draw a Poisson process whose rate follows a function of time.

    Parameters
    ----------
    rng : random.Random
    seconds : float
    rate : float
        Mean requests per second in each data centre.
    data_centres : list of str
    compute_factor : callable
        Called with a time and a data centre; returns the rate there as a
        multiple of the mean.

    Returns
    -------
    list of Arrival
        Arrivals in order of time.
    """
    max_factor = max(WAVE_HIGH_FACTOR, BURST_FACTOR)
    arrivals = []
    for data_centre in data_centres:
        at = 0.0
        while True:
            at += rng.expovariate(rate * max_factor)
            if at >= seconds:
                break
            if rng.random() * max_factor < compute_factor(at, data_centre):
                arrivals.append(draw_arrival(rng, at, data_centre))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def draw_arrival(rng, at, data_centre):
    shared = f"shared-{rng.randrange(SHARED_PARTS)}"
    own = f"own-{rng.getrandbits(40):x}"
    return Arrival(
        at=at,
        data_centre=data_centre,
        parts=((shared, SHARED_TOKENS), (own, OWN_TOKENS)),
        tokens=draw_tokens(rng, ONLINE_TOKENS),
    )


def draw_jobs(rng, times):
    """Draw a job for each time of submission."""
    return [
        JobArrival(
            at=at,
            due=at + JOB_DEADLINE_S,
            items=[
                (
                    ((f"own-{rng.getrandbits(40):x}", OWN_TOKENS),),
                    draw_tokens(rng, ITEM_TOKENS),
                )
                for _ in range(ITEMS_PER_JOB)
            ],
        )
        for at in times
    ]


def spread_times(seconds, jobs):
    """Spread the times of jobs evenly over the first half of a run."""
    return [0.5 * seconds * number / jobs for number in range(jobs)]


def build_load(rng, compute_factor, *, seconds, rate, data_centres, jobs):
    """Build requests at a variable rate, and jobs at regular intervals."""
    arrivals = draw_arrivals(
        rng,
        seconds=seconds,
        rate=rate,
        data_centres=data_centres,
        compute_factor=compute_factor,
    )
    return LoadPattern(
        seconds=seconds,
        arrivals=arrivals,
        jobs=draw_jobs(rng, spread_times(seconds, jobs)),
    )


def build_wave(rng, **scale):
    """Build waves, with jobs at regular intervals."""
    return build_load(rng, lambda at, _: compute_wave_factor(at), **scale)


def build_burst(rng, *, seconds, data_centres, **scale):
    """Build a steady load, with a burst at one data centre halfway."""
    middle = seconds / 2

    def compute_factor(at, data_centre):
        is_burst = middle <= at < middle + BURST_S
        return (
            BURST_FACTOR
            if is_burst and data_centre == data_centres[0]
            else 1.0
        )

    return build_load(
        rng,
        compute_factor,
        seconds=seconds,
        data_centres=data_centres,
        **scale,
    )


def build_job_rush(rng, *, jobs, **scale):
    """Build waves, with all jobs at the start."""
    pattern = build_wave(rng, jobs=0, **scale)
    pattern.jobs = draw_jobs(rng, [0.0] * jobs)
    return pattern


def build_loss(rng, **scale):
    """Build waves, with two upstreams permanently lost in the first one."""
    pattern = build_wave(rng, **scale)
    peak = WAVE_PERIOD_S - WAVE_HIGH_S / 2
    pattern.losses = [(peak + 0.1 * number, number) for number in range(2)]
    return pattern


def build_restart(rng, *, is_cold=False, **scale):
    """Build waves, with three upstreams replaced one after the other."""
    pattern = build_wave(rng, **scale)
    for number in range(3):
        at = (number + 1) * WAVE_PERIOD_S
        pattern.losses.append((at, number))
        pattern.restarts.append((at + RESTART_S, number, is_cold))
    return pattern


def build_cold_restart(rng, **scale):
    """Build the same with upstreams that are slow after their start."""
    return build_restart(rng, is_cold=True, **scale)


def build_skew(rng, **scale):
    """Build waves, with one gateway that receives three times as much."""
    pattern = build_wave(rng, **scale)
    pattern.skew = 3.0
    return pattern


def build_uneven(rng, *, seconds, **scale):
    """Build waves, at engines of several speeds on shared machines."""
    pattern = build_wave(rng, seconds=seconds, **scale)
    pattern.speeds = UNEVEN_SPEEDS
    for engine in range(MAX_ENGINES):
        at = 0.0
        while at < 2 * seconds:
            pattern.contention.append(
                (at, engine, rng.uniform(1.0, MAX_CONTENTION))
            )
            at += rng.expovariate(1 / CONTENTION_CHANGE_S)
    return pattern


def build_flood(rng, *, floods=FLOODS, **scale):
    """Build waves of many workspaces, some of which flood the fleet.

    Parameters
    ----------
    floods : sequence of (int, float)
        Number of the workspace and multiple of its usual requests.
    """
    pattern = build_wave(rng, **scale)
    rate = scale["rate"] * len(scale["data_centres"])
    sizes = [(number + 1) ** -WORKSPACE_SKEW for number in range(WORKSPACES)]
    names = [f"workspace-{number}" for number in range(WORKSPACES)]
    for arrival in pattern.arrivals:
        (arrival.workspace,) = rng.choices(names, sizes)
    pattern.workspaces = {
        name: rate * size / sum(sizes) for name, size in zip(names, sizes)
    }
    start = scale["seconds"] / 3
    for number, factor in floods:
        name = names[number]
        extra = (factor - 1) * pattern.workspaces[name]
        at = start + rng.expovariate(extra)
        while at < start + FLOOD_S:
            data_centre = rng.choice(scale["data_centres"])
            arrival = draw_arrival(rng, at, data_centre)
            arrival.workspace = name
            pattern.arrivals.append(arrival)
            at += rng.expovariate(extra)
    pattern.arrivals.sort(key=lambda arrival: arrival.at)
    pattern.flooding = [names[number] for number, _ in floods]
    return pattern


def build_shortage(rng, **scale):
    """Build a flood while a part of the upstreams is lost."""
    pattern = build_flood(rng, **scale)
    start = scale["seconds"] / 3
    pattern.losses = [(start, number) for number in range(LOST_IN_SHORTAGE)]
    return pattern


def build_jump(rng, **scale):
    """Build waves of many workspaces while a part of the upstreams is lost."""
    pattern = build_flood(rng, floods=(), **scale)
    start = scale["seconds"] / 3
    pattern.losses = [(start, number) for number in range(LOST_IN_SHORTAGE)]
    return pattern


PATTERNS = {
    "wave": build_wave,
    "burst": build_burst,
    "jobs": build_job_rush,
    "loss": build_loss,
    "skew": build_skew,
    "uneven": build_uneven,
    "flood": build_flood,
    "shortage": build_shortage,
    "jump": build_jump,
    "restart": build_restart,
    "cold_restart": build_cold_restart,
}


def build_pattern(name, *, seed, seconds, rate, data_centres, jobs):
    """Build a load pattern that is determined by its seed.

    Parameters
    ----------
    name : str
        One of PATTERNS.
    seed : int
    seconds : float
    rate : float
        Mean online requests per second in each data centre.
    data_centres : list of str
    jobs : int

    Returns
    -------
    LoadPattern
    """
    rng = random.Random(f"{name}/{seed}")
    return PATTERNS[name](
        rng,
        seconds=seconds,
        rate=rate,
        data_centres=data_centres,
        jobs=jobs,
    )
