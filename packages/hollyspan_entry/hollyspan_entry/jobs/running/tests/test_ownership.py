"""Tests of the ownership of upstreams."""

from types import SimpleNamespace

from hollyspan_entry.jobs.running.ownership import refresh_slots
from hollyspan_entry.upstreams import Upstream
from hollyspan_entry.upstreams import UpstreamRegistry
from hollyspan_policy.membership import MemberTable
from hollyspan_policy.membership import PauseGuard


class FakeConfiguration:
    """Configuration values read by the slots of an upstream."""

    VALUES = {
        "batch.policy": "yielding",
        "batch.reserve_slots": 1,
        "batch.harm_weight": 0.5,
    }

    def get(self, name, *, scope, now=None):
        """Return a value."""
        return self.VALUES[name]


def build_member(instance, *, last_seen):
    return SimpleNamespace(
        instance=instance,
        data_centre="kriti-a",
        incarnation=1,
        sequence=1,
        last_seen=last_seen,
        leaving=False,
        timeout=None,
    )


def build_runner(*, others):
    """Return the state of a runner with one engine.

    Only this daemon is a member, so it owns the engine in any case.
    """
    upstreams = UpstreamRegistry()
    upstreams.add(
        Upstream(
            name="engine-1",
            kind="engine",
            service="pips-lm",
            data_centre="kriti-a",
            address="127.0.0.1",
            port=1,
            slots=8,
        )
    )
    members = MemberTable(timeout=2.0)
    members.observe(build_member("kriti-a-1", last_seen=0.0))
    seeds = {
        name: SimpleNamespace(instance=name, data_centre="kriti-a")
        for name in ("kriti-a-1", *others)
    }
    runtime = SimpleNamespace(
        settings=SimpleNamespace(instance="kriti-a-1", data_centre="kriti-a"),
        upstreams=upstreams,
        members=members,
        seeds=seeds,
        configurations=SimpleNamespace(current=FakeConfiguration()),
    )
    return SimpleNamespace(
        runtime=runtime,
        slots={},
        guard=PauseGuard(limit=1.0, grace=5.0, now=0.0),
        expire_paused=lambda slots, now: None,
    )


def test_single_daemon_owns_upstreams_immediately():
    runner = build_runner(others=())
    refresh_slots(runner, now=0.0)
    assert set(runner.slots) == {"engine-1"}


def test_started_or_resumed_daemon_owns_nothing_before_a_peer_heartbeat():
    runner = build_runner(others=("kriti-a-2",))
    refresh_slots(runner, now=0.5)
    assert not runner.slots
    runner.guard.observe_peer(now=0.6)
    refresh_slots(runner, now=0.7)
    assert set(runner.slots) == {"engine-1"}
    # The process was paused for a while.
    runner.runtime.members.members["kriti-a-1"].last_seen = 30.0
    refresh_slots(runner, now=30.0)
    assert not runner.slots
    runner.guard.observe_peer(now=30.3)
    refresh_slots(runner, now=30.4)
    assert set(runner.slots) == {"engine-1"}
