"""Which upstreams this daemon runs batch items on."""

import time

from hollyspan_policy.ownership import choose_owner

from .slots import UpstreamSlots

__all__ = ["refresh_slots"]


def refresh_slots(runner, *, now):
    """Bring the runner's slots in step with the upstreams it owns.

    Parameters
    ----------
    runner : JobRunner
    now : float
        Monotonic seconds.
    """
    owned = list_owned(runner.runtime, now=now)
    heard = are_peers_heard(runner.runtime, now=now)
    for name, slots in list(runner.slots.items()):
        if owned.get(name) is not slots.upstream:
            retire(runner, name, slots)
    for name, upstream in owned.items():
        slots = runner.slots.setdefault(name, UpstreamSlots(upstream=upstream))
        slots.owned = slots.upstream is upstream
        slots.configure(
            runner.runtime.configurations.current, now=now, wall=time.time()
        )
        slots.observe(now=now)
        slots.observe_peers(heard, now=now)


def list_owned(runtime, *, now):
    """Return the engines of the own data centre that this daemon owns.

    Parameters
    ----------
    runtime : Runtime
    now : float
        Monotonic seconds.

    Returns
    -------
    dict
        Upstream by name.
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


def are_peers_heard(runtime, *, now):
    """Tell whether all listed daemons of the data centre are heard."""
    expected = [
        seed.instance
        for seed in runtime.seeds.values()
        if seed.data_centre == runtime.settings.data_centre
    ]
    return not runtime.members.list_silent(expected, now=now)


def retire(runner, name, slots):
    """Start nothing at an upstream any more; what runs there goes on."""
    slots.owned = False
    runner.put_back_long_paused(slots, now=time.monotonic())
    if not slots.running and not slots.paused:
        del runner.slots[name]
