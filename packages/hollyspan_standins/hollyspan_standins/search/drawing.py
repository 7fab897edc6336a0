"""Scenarios drawn from a seed."""

import random

from .faults import NEVER_S
from .scenario import Fault
from .scenario import JobPlan
from .scenario import Scenario
from .scenario import When

__all__ = ["GRAMMARS", "draw_losses", "draw_scenario"]

FIRST_JOB_PART = 10_000
COMMON_PART = 1
# Events that faults may follow.
EVENTS = ("job:accepted", "item:started", "part:blocked", "part:tried")
SHARES = (0.0, 1 / 3, 1 / 3, 1 / 2, 2 / 3, 1.0)
BACKS = ("same", "other", "elsewhere")
# Roles of the gateways that a fault concerns.
ROLES = ("any", "front", "worker", "worker", "last")
MAX_JOBS = 10
# Fronts and workers. From 26 on, some read the store for the others.
SIZES = 4 * ((2, 2), (3, 3), (4, 4), (6, 6), (3, 8)) + ((10, 18),)
# Limits on the tokens of waiting items: of some jobs, and of all at once.
TIGHT_LIMIT = 640
WIDE_LIMIT = 8000
# Times of datagrams between data centres of one place and of two.
PEER_SECONDS = (0.001, 0.001, 0.005, 0.04)
# Latest time after its first event at which a fault begins.
MAX_DELAY_S = 16.0
# Faults by what they concern; how often one is drawn among the others.
UPSTREAM_KINDS = {
    "end": 8,
    "refuse": 2,
    "silence": 2,
    "slow": 1,
    "reset": 2,
    "leave": 1,
    "release": 1,
    "answers broken": 1,
    "answers cut": 1,
    "answers empty": 1,
}
STORE_KINDS = {
    "store refuses": 2,
    "store silent": 2,
    "store late": 1,
    "watches late": 1,
    "writes lost": 1,
    "replies lost": 1,
    "writes late": 2,
    "compaction": 1,
    "entries lapse": 2,
    "configuration": 1,
}
GATEWAY_KINDS = {
    "store cut": 2,
    "store turns away": 2,
    "cut off": 2,
    "replace": 1,
    "add": 1,
    "kill": 3,
    "pause": 3,
    "stop": 2,
    "retire": 2,
    "isolate": 1,
    "deaf": 1,
    "mute": 1,
    "link hangs": 1,
    "link refuses": 1,
    "link resets": 1,
    "link resets requests": 1,
    "link accepts and resets": 1,
}
# How long such a fault lasts.
USUAL_SECONDS = (0.5, 1.2, 2.5, 5.0)
GATEWAY_SECONDS = {"kill": (0.5, 2.0, 5.0, NEVER_S), "retire": (4.0, 8.0)}
NETWORK_KINDS = {"datagrams lost": 2}
# What the store of the pages does not do.
BEYOND_KINDS = {"watches miss": 1, "values cut": 1}
ALL_KINDS = {**UPSTREAM_KINDS, **STORE_KINDS, **GATEWAY_KINDS, **NETWORK_KINDS}


def draw_losses(seed):
    """Draw losses in rounds beside jobs that each have a part of their own.

    Parameters
    ----------
    seed : int

    Returns
    -------
    Scenario
    """
    draw = random.Random(f"losses {seed}")
    jobs = draw_jobs(draw, draw_own_part)
    return Scenario(
        **draw_sizes(draw, seed),
        jobs=jobs,
        faults=draw_waves(draw, draw_strokes(draw, "end"), jobs),
    )


def draw_scenario(seed, *, kinds=ALL_KINDS, always=()):
    """Draw one to three kinds of faults that come together.

    Parameters
    ----------
    seed : int
    kinds : dict, optional
        How often a kind is drawn among the others.
    always : sequence of str, optional
        Kinds of which one is drawn besides.

    Returns
    -------
    Scenario
    """
    draw = random.Random(f"all {seed}")
    draw_parts = draw.choice((draw_own_part, draw_own_part, draw_any_parts))
    jobs = draw_jobs(draw, draw_parts)
    if draw.random() < 0.2:
        jobs.append(draw_fatal_job(draw, len(jobs)))
    faults = []
    chosen = [draw.choice(always)] if always else []
    chosen += draw.choices(
        list(kinds), list(kinds.values()), k=draw.choice((1, 2, 2, 3))
    )
    for kind in chosen:
        faults += draw_waves(draw, draw_strokes(draw, kind), jobs)
    return Scenario(**draw_sizes(draw, seed), jobs=jobs, faults=faults)


def draw_sizes(draw, seed):
    """Draw the number and speed of the processes."""
    fronts, workers = draw.choice(SIZES)
    return {
        "seed": seed,
        "fronts": fronts,
        "workers": workers,
        "upstreams": draw.choice((4, 9, 12, 16)),
        "prompt_seconds": draw.choice((0.05, 0.2, 0.4, 0.4)),
        "event_seconds": draw.choice((0.03, 0.05)),
        "versions": draw.choice((1, 1, 2)),
        "streams": draw.choice((0.0, 2.0, 8.0)),
        "stream_events": draw.choice((6, 16)),
        "stream_seconds": round(draw.uniform(4.0, 14.0), 3),
        "limit": draw.choice((0, 0, 0, TIGHT_LIMIT, WIDE_LIMIT)),
        "peer_seconds": random.Random(f"peers {seed}").choice(PEER_SECONDS),
        "page_size": draw.choice((500, 500, 8)),
        "skew": draw.choice((0.0, 0.0, 2.0)),
    }


def draw_own_part(draw, number):
    return (FIRST_JOB_PART + number,)


def draw_any_parts(draw, number):
    """Draw parts that a job has alone, with others or with streams."""
    own = FIRST_JOB_PART + number
    return draw.choice(
        (
            (),
            (COMMON_PART,),
            (COMMON_PART, own),
            (FIRST_JOB_PART,),
            (FIRST_JOB_PART + number % 2, own),
            (own,),
        )
    )


def draw_jobs(draw, draw_parts):
    """Draw jobs, some of them in bursts."""
    jobs = []
    at = 0.2
    for _ in range(draw.randint(1, 3)):
        for _ in range(draw.choice((1, 2, 4, 8))):
            number = len(jobs)
            jobs.append(
                JobPlan(
                    name=f"j{number}",
                    at=round(at + draw.uniform(0.0, 0.1), 3),
                    items=draw.randint(4, 16),
                    events=draw.choice((4, 10, 20)),
                    parts=draw_parts(draw, number),
                )
            )
        at += draw.uniform(0.5, 7.0)
    return jobs[:MAX_JOBS]


def draw_fatal_job(draw, number):
    """Draw a job with a part that ends upstreams."""
    parts = draw_own_part(draw, number)
    if draw.random() < 0.5:
        parts = (COMMON_PART, *parts)
    return JobPlan(
        name=f"j{number}",
        at=round(draw.uniform(0.2, 8.0), 3),
        items=draw.randint(1, 12),
        events=10,
        parts=parts,
        is_fatal=True,
    )


def draw_strokes(draw, kind):
    """Draw faults of a kind that follow each other closely.

    Returns
    -------
    list of (float, dict)
        Time after the first one, and the fields of the fault.
    """
    strokes = []
    at = 0.0
    common = draw_fields(draw, kind)
    count = draw.choice((1, 2, 3, 3, 4) if kind == "end" else (1, 1, 2))
    for _ in range(count):
        share = draw.choice(SHARES)
        if kind in NETWORK_KINDS:
            share = draw.choice((0.1, 0.3, 0.6))
        strokes.append((at, {"kind": kind, "share": share, **common}))
        at += draw.choice((0.1, 0.3, 0.5, 0.5, 1.0))
    return strokes


def draw_fields(draw, kind):
    """Draw what the faults of a series have in common."""
    if kind == "end":
        return {
            "spared": draw.choice((0, 1, 1)),
            "seconds": draw.choice((0.5, 1.5, 1.5, 4.0)),
            "back": draw.choice(BACKS),
        }
    if kind == "release":
        return {"seconds": draw.choice((0.1, 0.4, 1.0))}
    if kind in UPSTREAM_KINDS:
        return {
            "who": draw.choice(("any", "any", "last")),
            "spared": draw.choice((0, 1)),
            "seconds": draw.choice((0.5, 1.2, 3.0)),
        }
    if kind in GATEWAY_KINDS:
        return {
            "who": draw.choice(ROLES),
            "spared": 1,
            "seconds": draw.choice(GATEWAY_SECONDS.get(kind, USUAL_SECONDS)),
            "reach": draw.choice((0.3, 0.7, 1.0, 1.0)),
        }
    return {
        "seconds": draw.choice((0.3, 1.2, 3.0, 6.0)),
        "count": draw.choice((1, 2, 6)),
    }


def draw_waves(draw, strokes, jobs):
    """Repeat strokes, at times or after events.

    Returns
    -------
    list of Fault
    """
    anchor = draw_anchor(draw, jobs)
    faults = []
    at = anchor.delay
    for _ in range(draw.choice((1, 2, 3, 3))):
        for offset, fields in strokes:
            delay = at + offset + draw.uniform(0.0, 0.15)
            if delay > MAX_DELAY_S:
                continue
            faults.append(
                Fault(
                    when=anchor.replace(delay=round(delay, 3)),
                    salt=draw.randrange(1000),
                    **fields,
                )
            )
        at += strokes[-1][0] + draw.choice((0.2, 0.5, 1.0, 2.5, 6.5))
    return faults


def draw_anchor(draw, jobs):
    """Draw the moment of a first fault."""
    event = draw.choice(("start", *EVENTS, "job:accepted", "job:accepted"))
    if event == "start":
        return When(delay=draw.uniform(0.3, 6.0))
    number = {
        "job:accepted": draw.randint(1, max(1, len(jobs))),
        "item:started": draw.randint(1, 60),
    }.get(event, 1)
    return When(event=event, number=number, delay=draw.uniform(0.0, 0.6))


def draw_beyond(seed):
    """Draw scenarios whose store also breaks its promises."""
    return draw_scenario(seed, always=tuple(BEYOND_KINDS))


GRAMMARS = {
    "all": draw_scenario,
    "losses": draw_losses,
    "beyond": draw_beyond,
}
