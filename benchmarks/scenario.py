"""Fleets and loads that are measured."""

from hollyspan_standins.deployment import build_cooperative_places
from hollyspan_standins.deployment import build_trust_places

__all__ = ["JobPlan", "SCENARIOS", "Scenario"]

SLOTS = 8


class JobPlan:
    """One batch job of a scenario.

    Parameters
    ----------
    name : str
    items : int
    impossible : int
        Items that can never be done, beside the others.
    due_seconds : int
        After its submission.
    """

    __slots__ = ("name", "items", "impossible", "due_seconds")

    def __init__(self, *, name, items, impossible, due_seconds):
        self.name = name
        self.items = items
        self.impossible = impossible
        self.due_seconds = due_seconds


class Scenario:
    """One fleet with its load.

    Parameters
    ----------
    mix : str
        Name of the mix of the load tool.
    model : str
    build_places : callable
        Takes the daemons in each data centre.
    rate : float
        Online arrivals a second over the whole fleet, outside bursts.
    jobs : list of JobPlan
    """

    __slots__ = ("mix", "model", "build_places", "rate", "jobs")

    def __init__(self, *, mix, model, build_places, rate, jobs):
        self.mix = mix
        self.model = model
        self.build_places = build_places
        self.rate = rate
        self.jobs = jobs


SCENARIOS = {
    "trust": Scenario(
        mix="trust",
        model="pips-lm",
        build_places=build_trust_places,
        rate=12.0,
        jobs=[
            JobPlan(name="far", items=6000, impossible=3, due_seconds=86400),
            JobPlan(name="near", items=200, impossible=3, due_seconds=25),
            JobPlan(name="middle", items=400, impossible=3, due_seconds=40),
        ],
    ),
    "cooperative": Scenario(
        mix="cooperative",
        model="merch-lm",
        build_places=build_cooperative_places,
        rate=7.0,
        jobs=[
            JobPlan(name="far", items=4000, impossible=3, due_seconds=86400),
            JobPlan(name="near", items=100, impossible=3, due_seconds=25),
            JobPlan(name="middle", items=200, impossible=3, due_seconds=40),
        ],
    ),
}
