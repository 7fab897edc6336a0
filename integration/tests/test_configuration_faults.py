"""Configuration under pairs of faults, seeded."""

import random
import time

import pytest

from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.checker import find_falling_generations
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

IN_FORCE_SECONDS = 12.0
ROUNDS = 3
FAULT_SECONDS = 1.5
SEEDS = (1, 2, 3)


def cut_store(deployment, daemon):
    """Cut one daemon off from the store; return how to lift that."""
    deployment.set_link_faults(f"store:{daemon}", cut=True)
    return lambda: deployment.set_link_faults(f"store:{daemon}", cut=False)


def cut_peers(deployment, daemon):
    """Cut all links from and to one daemon."""
    links = (f"peer:{daemon}>*", f"peer:*>{daemon}")
    deployment.set_link_faults(*links, cut=True)
    return lambda: deployment.set_link_faults(*links, cut=False)


def freeze(deployment, daemon):
    """Freeze one daemon."""
    deployment.freeze(daemon)
    return lambda: deployment.thaw(daemon)


def restart(deployment, daemon):
    """Kill one daemon; it is started again when the fault is lifted."""
    deployment.kill(daemon)
    return lambda: deployment.start(daemon, wait=False)


def silence_watches(deployment, daemon):
    """Let all watches of the store go silent."""
    deployment.control("store", silent_watches=True)
    return lambda: deployment.control("store", silent_watches=False)


def lose_replies(deployment, daemon):
    """Lose the replies to two writes of the document."""
    deployment.control(
        "store", lose_replies=2, lose_matching="configuration/current"
    )
    return lambda: deployment.control("store", lose_replies=0)


FAULTS = (
    cut_store,
    cut_peers,
    freeze,
    restart,
    silence_watches,
    lose_replies,
)


def submit(operator, daemon, number):
    """Submit a change; return the accepted generation, or None."""
    try:
        return operator.submit_change(daemon, reason=f"round {number}")
    except (OSError, RefusedError):
        return None


@pytest.mark.parametrize("seed", SEEDS)
def test_pairs_of_faults_leave_one_rising_generation(seed):
    chance = random.Random(seed)
    layouts = build_layouts("attiki", "kriti", daemons=2, services=())
    layouts[0].disks = 1
    with open_deployment(
        layouts=layouts, proxied=["store", "peers"], seed=seed
    ) as deployment:
        operator = Operator(deployment=deployment)
        daemons = deployment.daemon_names
        writer, *others = daemons
        accepted = [1]
        for number in range(ROUNDS):
            victims = chance.sample(others, 2)
            chosen = chance.sample(FAULTS, 2)
            lifts = [
                fault(deployment, victim)
                for fault, victim in zip(chosen, victims)
            ]
            accepted.append(submit(operator, writer, number))
            time.sleep(FAULT_SECONDS)
            for lift in lifts:
                lift()
            highest = operator.get(writer, "configuration")["generation"]
            operator.wait_in_force(
                highest, daemons=daemons, seconds=IN_FORCE_SECONDS
            )
        taken = [generation for generation in accepted if generation]
        assert taken == sorted(set(taken))
        assert highest >= max(taken)
        seen = operator.observations + operator.read_applied_generations()
        assert not find_falling_generations(seen)
