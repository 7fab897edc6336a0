"""Plays a scenario."""

import collections
import contextlib
import hashlib
import random

import eliot

from .checkers import list_violations
from .faults import plan_faults
from .world import START_S
from .world import World

__all__ = ["Outcome", "play_scenario"]

# Time after the last fault within which accepted items must be done, and the
# step in which this is checked.
FINISH_S = 18.0
CHECK_INTERVAL_S = 0.5
# Calm time behind the last request in which late sends of a fatal part show.
CALM_S = 2.0
MAX_SECONDS = 100.0
# Fields of log lines that differ from run to run.
UNSTABLE_FIELDS = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type")
)


class Outcome:
    """What a run has shown.

    Attributes
    ----------
    violations : list of Violation
    seconds : float
        Simulated time.
    digest : str
        Hash of the whole log.
    log : list of tuple
    counts : Counter
        Log lines by type.
    """

    __slots__ = ("violations", "seconds", "digest", "log", "counts")

    def __init__(self, *, violations, seconds, log, counts):
        self.violations = violations
        self.seconds = seconds
        self.log = log
        self.counts = counts
        text = "\n".join(map(repr, log))
        self.digest = hashlib.sha256(text.encode()).hexdigest()


@contextlib.contextmanager
def seed_gateways(seed):
    """Seed what the gateways draw, and restore the generator at the end."""
    state = random.getstate()
    random.seed(f"gateways {seed}")
    try:
        yield
    finally:
        random.setstate(state)


@contextlib.contextmanager
def read_log(world):
    """Add the gateways' log lines to the log of a run.

    Yields
    ------
    (callable, Counter)
        The first subscribes a function to the lines of a type.
    """
    subscribers = collections.defaultdict(list)
    counts = collections.Counter()

    def receive(message):
        kind = message.get("message_type", "")
        counts[kind] += 1
        fields = [
            (name, str(value))
            for name, value in message.items()
            if name not in UNSTABLE_FIELDS
        ]
        if kind == "eliot:traceback":
            fields = [("reason", str(message.get("reason")))]
            world.errors.append(str(message.get("traceback")))
        if kind == "part:blocked":
            world.blocked[str(message["parts"])] += 1
        world.note(kind, *sorted(fields))
        for function in subscribers[kind]:
            function()

    eliot.add_destinations(receive)
    try:
        yield lambda kind, function: subscribers[kind].append(function), counts
    finally:
        eliot.remove_destination(receive)


def play_scenario(scenario):
    """Play a scenario until all is done or a rule is broken.

    Parameters
    ----------
    scenario : Scenario

    Returns
    -------
    Outcome
    """
    with seed_gateways(scenario.seed):
        world = World(scenario=scenario)
        with read_log(world) as (subscribe, counts):
            plan_faults(world, subscribe)
            run_to_end(world)
            violations = list_violations(world)
    return Outcome(
        violations=violations,
        seconds=world.clock.now - START_S,
        log=world.log,
        counts=counts,
    )


def run_to_end(world):
    """Let time pass until nothing is left to do, or to wait for."""
    clock = world.clock
    clock.run(until=START_S)
    while clock.now < START_S + MAX_SECONDS:
        clock.run(until=clock.now + CHECK_INTERVAL_S)
        if clock.now > world.find_deadline(FINISH_S):
            return
        if world.is_complete() and clock.now > world.trouble_until + CALM_S:
            return
