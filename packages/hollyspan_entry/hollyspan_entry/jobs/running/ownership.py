"""Ownership of the upstreams on which this daemon runs batch items."""

import time

from hollyspan_policy.membership import PauseGuard
from hollyspan_policy.ownership import choose_owner
from hollyspan_policy.ownership import rank_owners

from ...streams import cancel_peer_batch_streams
from .overdue import expire_paused
from .slots import UpstreamSlots

__all__ = ["build_guard", "build_member_listener", "refresh_slots"]

PAUSE_LIMIT_S = 1.0


def build_guard(timing):
    """Build the guard against acting on stale state after a process pause."""
    return PauseGuard(
        limit=PAUSE_LIMIT_S,
        grace=timing.peer_timeout,
        now=time.monotonic(),
    )


def build_member_listener(runner):
    """Build the listener that reports heartbeats of peers to the guard."""
    settings = runner.runtime.settings

    def observe_member(member):
        if member.instance == settings.instance:
            return
        if member.data_centre == settings.data_centre:
            runner.guard.observe_peer(now=time.monotonic())

    return observe_member


# Longer than the time for which engines retain disconnected streams.
FAILED_DAEMON_WINDOW_S = 15.0


def refresh_slots(runner, *, now):
    """Update the runner's slots to match the upstreams that it owns.

    Parameters
    ----------
    runner : JobRunner
    now : float
        Monotonic seconds.
    """
    runner.guard.observe_tick(now=now)
    owned = {}
    if runner.guard.may_own(now=now) or not list_expected_peers(
        runner.runtime
    ):
        owned = list_owned(runner.runtime, now=now)
    peers_live = are_peers_live(runner.runtime, now=now)
    for name, slots in list(runner.slots.items()):
        if owned.get(name) is not slots.upstream:
            release_slots(runner, name, slots)
    for name, upstream in owned.items():
        if name not in runner.slots:
            acquire_slots(runner, upstream, now=now)
        slots = runner.slots[name]
        slots.owned = slots.upstream is upstream
        slots.configure(
            runner.runtime.configurations.current,
            now=now,
            wall_time=time.time(),
        )
        slots.observe(now=now)
        slots.observe_peers(peers_live, now=now)
        slots.observe_report(now=now)
        names = list_alternatives(runner.runtime, upstream)
        slots.observe_upstreams(names, now=now)


def list_alternatives(runtime, upstream):
    """List the usable upstreams of a service, including the given one.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream

    Returns
    -------
    list of str
        Names of the upstreams, in the same order on all daemons.
    """
    found = runtime.upstreams.list_by_service(
        upstream.service, data_centre=upstream.data_centre
    )
    usable = {u.name for u in found if u.reachable and not u.leaving}
    return rank_owners(upstream.service, usable | {upstream.name})


def acquire_slots(runner, upstream, *, now):
    """Acquire an upstream and cancel the batch streams of failed owners."""
    runtime = runner.runtime
    slots = UpstreamSlots(upstream=upstream)
    runner.slots[upstream.name] = slots
    failed_instances = list_failed_instances(runtime, now=now)
    if failed_instances:
        # This daemon has not received the online load of its peers yet.
        slots.block_batch(now=now)
    for instance in failed_instances:
        cancel_peer_batch_streams(
            runtime, upstream=upstream, instance=instance
        )


def list_failed_instances(runtime, *, now):
    """List the daemons of the data centre that failed recently."""
    members = runtime.members
    live = {m.instance for m in members.list_live(now=now, leaving=True)}
    return [
        member.instance
        for member in members.members.values()
        if member.data_centre == runtime.settings.data_centre
        and member.instance not in live
        and now - member.last_seen <= FAILED_DAEMON_WINDOW_S
    ]


def list_owned(runtime, *, now):
    """Return the engines of the local data centre owned by this daemon.

    Parameters
    ----------
    runtime : Runtime
    now : float
        Monotonic seconds.

    Returns
    -------
    dict
        Upstreams by name.
    """
    settings = runtime.settings
    live = [
        member.instance
        for member in runtime.members.list_live(
            now=now, data_centre=settings.data_centre
        )
    ]
    return {
        upstream.name: upstream
        for upstream in runtime.upstreams.by_name.values()
        if upstream.kind == "engine"
        and upstream.data_centre == settings.data_centre
        and choose_owner(upstream.name, live) == settings.instance
    }


def are_peers_live(runtime, *, now):
    """Return True if no expected peer of the data centre is silent."""
    return not runtime.members.list_silent(
        list_expected_peers(runtime), now=now
    )


def list_expected_peers(runtime):
    """List the peers of the data centre from which heartbeats are expected."""
    settings = runtime.settings
    return [
        seed.instance
        for seed in runtime.seeds.values()
        if seed.data_centre == settings.data_centre
        and seed.instance != settings.instance
    ]


def release_slots(runner, name, slots):
    """Stop starting items at an upstream; running items continue.

    The slots are removed once no item is running or paused.
    """
    slots.owned = False
    expire_paused(runner, slots, now=time.monotonic())
    if not slots.running and not slots.paused:
        del runner.slots[name]
