"""An accepted configuration reaches all daemons and never reverts."""

from concurrent import futures
import json

import pytest

from hollyspan_standins.caller import Operator
from hollyspan_standins.caller import RefusedError
from hollyspan_standins.checker import find_decreasing_generations
from hollyspan_standins.deployment import build_layouts
from hollyspan_standins.deployment import open_deployment

IN_FORCE_TIMEOUT_S = 12.0
ROUNDS = 3


@pytest.fixture(name="start")
def start_deployments():
    """Return a function that opens a deployment as a context manager."""

    def start(*regions, daemons=1, disks=0, **options):
        layouts = build_layouts(*regions, daemons=daemons, services=())
        for layout in layouts:
            layout.disks = disks
        return open_deployment(layouts=layouts, **options)

    return start


def check_generations_never_fall(operator):
    observed = operator.observations + operator.read_applied_generations()
    assert not find_decreasing_generations(observed)


def submit(operator, daemon, document):
    try:
        return operator.post(daemon, "configuration", document)
    except RefusedError as error:
        return error


def test_one_of_several_concurrent_changes_is_accepted(start):
    with start("attiki", "kriti", daemons=2) as deployment:
        operator = Operator(deployment=deployment)
        daemons = deployment.daemon_names
        for _ in range(ROUNDS):
            base = operator.get(daemons[0], "configuration")
            with futures.ThreadPoolExecutor(len(daemons)) as pool:
                answers = list(
                    pool.map(
                        lambda name: submit(operator, name, base), daemons
                    )
                )
            accepted_generation = base["generation"] + 1
            accepted = [a for a in answers if isinstance(a, dict)]
            rejected = [a for a in answers if isinstance(a, RefusedError)]
            assert accepted == [{"generation": accepted_generation}]
            for error in rejected:
                assert error.status == 409
                assert f"generation {accepted_generation} is accepted" in str(
                    error.body
                )
            operator.wait_in_force(
                accepted_generation,
                daemons=daemons,
                seconds=IN_FORCE_TIMEOUT_S,
            )
        history = operator.get(daemons[0], "configuration/history")
        generations = [d["generation"] for d in history["documents"]]
        assert generations == list(range(ROUNDS + 1, 0, -1))
        check_generations_never_fall(operator)


def test_lost_reply_to_a_change_is_resolved(start):
    with start("attiki", daemons=2) as deployment:
        operator = Operator(deployment=deployment)
        first, second = deployment.daemon_names
        deployment.control(
            "store", lose_replies=2, lose_matching="configuration/current"
        )
        assert operator.submit_change(first, reason="a lost reply") == 2
        operator.wait_in_force(2, daemons=[second], seconds=IN_FORCE_TIMEOUT_S)
        assert operator.submit_change(second, reason="the next one") == 3
        operator.wait_in_force(
            3, daemons=[first, second], seconds=IN_FORCE_TIMEOUT_S
        )
        check_generations_never_fall(operator)


def test_change_spreads_despite_silent_watches(start):
    with start("attiki", "kriti") as deployment:
        operator = Operator(deployment=deployment)
        first, second = deployment.daemon_names
        deployment.control("store", silent_watches=True)
        generation = operator.submit_change(first, reason="silent watch")
        operator.wait_in_force(
            generation, daemons=[first, second], seconds=IN_FORCE_TIMEOUT_S
        )
        check_generations_never_fall(operator)


def test_change_spreads_despite_silent_watches_and_cut_peers(start):
    options = {"proxied": ["peers"]}
    with start("attiki", "kriti", **options) as deployment:
        operator = Operator(deployment=deployment)
        first, second = deployment.daemon_names
        deployment.control("store", silent_watches=True)
        deployment.set_link_faults("peer:*", cut=True)
        generation = operator.submit_change(first, reason="silent, no peers")
        operator.wait_in_force(
            generation, daemons=[second], seconds=IN_FORCE_TIMEOUT_S
        )
        check_generations_never_fall(operator)


def test_data_centre_without_store_receives_change_from_peers(start):
    options = {"daemons": 2, "proxied": ["store"]}
    with start("attiki", "kriti", **options) as deployment:
        operator = Operator(deployment=deployment)
        daemons = deployment.daemon_names
        deployment.set_link_faults("store:kriti-a-*", cut=True)
        generation = operator.submit_change(daemons[0], reason="cut off")
        operator.wait_in_force(
            generation, daemons=daemons, seconds=IN_FORCE_TIMEOUT_S
        )
        check_generations_never_fall(operator)


def test_restart_without_store_does_not_revert(start):
    options = {"daemons": 2, "disks": 1, "proxied": ["peers"]}
    with start("attiki", "kriti", **options) as deployment:
        operator = Operator(deployment=deployment)
        daemons = deployment.daemon_names
        with_disk = daemons[0]
        deployment.kill(with_disk)
        generation = operator.submit_change(
            daemons[1], reason="while it is down"
        )
        operator.wait_in_force(
            generation, daemons=daemons[1:], seconds=IN_FORCE_TIMEOUT_S
        )
        deployment.control("store", outage=True)
        path = deployment.folder / f"{with_disk}.data/configuration.json"
        assert json.loads(path.read_bytes())["generation"] == 1
        deployment.start(with_disk)
        # The older document on disk must not come into force.
        assert operator.observe(with_disk) == generation
        check_generations_never_fall(operator)


def test_restart_from_disk_without_store(start):
    options = {"disks": 1}
    with start("attiki", **options) as deployment:
        operator = Operator(deployment=deployment)
        (daemon,) = deployment.daemon_names
        generation = operator.submit_change(daemon, reason="kept on disk")
        deployment.control("store", outage=True)
        deployment.kill(daemon)
        deployment.start(daemon)
        assert operator.observe(daemon) == generation


def test_stale_peer_reverts_nothing(start):
    with start("attiki", daemons=3) as deployment:
        operator = Operator(deployment=deployment)
        stale, *others = deployment.daemon_names
        deployment.freeze(stale)
        generation = operator.submit_change(others[0], reason="one is frozen")
        operator.wait_in_force(
            generation, daemons=others, seconds=IN_FORCE_TIMEOUT_S
        )
        deployment.control("store", outage=True)
        deployment.thaw(stale)
        operator.wait_in_force(
            generation, daemons=[stale], seconds=IN_FORCE_TIMEOUT_S
        )
        for daemon in deployment.daemon_names:
            assert operator.observe(daemon) == generation
        check_generations_never_fall(operator)
