"""Configuration changes under seeded pairs of faults."""

import random
import time

import pytest

from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.checker import find_decreasing_generations
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

IN_FORCE_TIMEOUT_S = 12.0
ROUNDS = 3
FAULT_DURATION_S = 1.5
SEEDS = (1, 2, 3)


def cut_store(deployment, daemon):
    """Cut one daemon off from the store; return the undo function."""
    deployment.set_link_faults(f"store:{daemon}", cut=True)
    return lambda: deployment.set_link_faults(f"store:{daemon}", cut=False)


def cut_peers(deployment, daemon):
    """Cut all peer links of one daemon; return the undo function."""
    links = (f"peer:{daemon}>*", f"peer:*>{daemon}")
    deployment.set_link_faults(*links, cut=True)
    return lambda: deployment.set_link_faults(*links, cut=False)


def freeze(deployment, daemon):
    """Freeze one daemon; return the undo function."""
    deployment.freeze(daemon)
    return lambda: deployment.thaw(daemon)


def restart(deployment, daemon):
    """Kill one daemon; the returned undo function starts it again."""
    deployment.kill(daemon)
    return lambda: deployment.start(daemon, wait=False)


def silence_all_watches(deployment, daemon):
    """Stop the events of all store watches; return the undo function."""
    deployment.control("store", silent_watches=True)
    return lambda: deployment.control("store", silent_watches=False)


def lose_configuration_replies(deployment, daemon):
    """Lose two replies to writes of the document; return the undo function."""
    deployment.control(
        "store",
        lose_replies=2,
        lose_matching="configuration/current",
    )
    return lambda: deployment.control("store", lose_replies=0)


FAULTS = (
    cut_store,
    cut_peers,
    freeze,
    restart,
    silence_all_watches,
    lose_configuration_replies,
)


def submit(operator, daemon, number):
    """Submit a change; return the accepted generation, or None on failure."""
    try:
        return operator.submit_change(daemon, reason=f"round {number}")
    except (OSError, RefusedError):
        return None


@pytest.mark.parametrize("seed", SEEDS)
def test_pairs_of_faults_leave_one_rising_generation(seed):
    generator = random.Random(seed)
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
            victims = generator.sample(others, 2)
            chosen = generator.sample(FAULTS, 2)
            undo_functions = [
                fault(deployment, victim)
                for fault, victim in zip(chosen, victims)
            ]
            accepted.append(submit(operator, writer, number))
            time.sleep(FAULT_DURATION_S)
            for undo in undo_functions:
                undo()
            highest = operator.get(writer, "configuration")["generation"]
            operator.wait_in_force(
                highest, daemons=daemons, seconds=IN_FORCE_TIMEOUT_S
            )
        successful = [generation for generation in accepted if generation]
        assert successful == sorted(set(successful))
        assert highest >= max(successful)
        observed = operator.observations + operator.read_applied_generations()
        assert not find_decreasing_generations(observed)
