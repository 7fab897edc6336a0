"""Scenarios: fleets and loads to measure."""

from hollyspan_standins.deployment import build_cooperative_layouts
from hollyspan_standins.deployment import build_trust_layouts

__all__ = ["JobPlan", "SCENARIOS", "Scenario"]

SLOTS = 8


class JobPlan:
    """Batch job of a scenario.

    Parameters
    ----------
    name : str
    items : int
        Number of items that can be completed.
    failing_items : int
        Number of additional items that always fail.
    due_seconds : int
        Time from submission to the deadline.
    """

    __slots__ = ("name", "items", "failing_items", "due_seconds")

    def __init__(self, *, name, items, failing_items, due_seconds):
        self.name = name
        self.items = items
        self.failing_items = failing_items
        self.due_seconds = due_seconds


class Scenario:
    """Fleet with its load.

    Parameters
    ----------
    mix : str
        Name of the request mix of the load tool.
    model : str
    build_layouts : callable
        Called with ``daemons``, the number of daemons in each data centre.
    rate : float
        Online arrivals per second in the whole fleet, outside bursts.
    jobs : list of JobPlan
    """

    __slots__ = ("mix", "model", "build_layouts", "rate", "jobs")

    def __init__(self, *, mix, model, build_layouts, rate, jobs):
        self.mix = mix
        self.model = model
        self.build_layouts = build_layouts
        self.rate = rate
        self.jobs = jobs


SCENARIOS = {
    "trust": Scenario(
        mix="trust",
        model="pips-lm",
        build_layouts=build_trust_layouts,
        rate=12.0,
        jobs=[
            JobPlan(
                name="far", items=6000, failing_items=3, due_seconds=86400
            ),
            JobPlan(name="near", items=200, failing_items=3, due_seconds=25),
            JobPlan(name="middle", items=400, failing_items=3, due_seconds=40),
        ],
    ),
    "cooperative": Scenario(
        mix="cooperative",
        model="merch-lm",
        build_layouts=build_cooperative_layouts,
        rate=7.0,
        jobs=[
            JobPlan(
                name="far", items=4000, failing_items=3, due_seconds=86400
            ),
            JobPlan(name="near", items=100, failing_items=3, due_seconds=25),
            JobPlan(name="middle", items=200, failing_items=3, due_seconds=40),
        ],
    ),
}
