"""What faults do to the processes of a run."""

import random

from ..memory import LinkState
from .world import PREPARATION_S

__all__ = ["KINDS", "plan_faults", "play"]

LINK_KINDS = {
    "link hangs": LinkState.HANGS,
    "link refuses": LinkState.REFUSES,
    "link resets": LinkState.RESET,
    "link resets requests": LinkState.RESETS_REQUESTS,
    "link accepts and resets": LinkState.ACCEPTS_AND_RESETS,
}
SLOWNESS = 6.0
LATE_ANSWER_S = 0.6


def plan_faults(world, subscribe):
    """Plan all faults of a scenario.

    Parameters
    ----------
    world : World
    subscribe : callable
        Called with the type of a log line and a function, which is called
        with each such line.
    """
    for fault in world.scenario.faults:
        when = fault.when
        if when.event == "start":
            world.clock.callLater(
                PREPARATION_S + when.delay, play, world, fault
            )
        else:
            subscribe(when.event, Countdown(world=world, fault=fault))


class Countdown:
    """Plays a fault some time after an event has come so often."""

    def __init__(self, *, world, fault):
        self.world = world
        self.fault = fault
        self.left = fault.when.number

    def __call__(self):
        self.left -= 1
        if not self.left:
            # The fault is expected from now on.
            self.world.note_trouble(self.fault.when.delay)
            self.world.clock.callLater(
                self.fault.when.delay, play, self.world, self.fault
            )


def play(world, fault):
    """Let a fault happen now."""
    world.note("fault", fault.kind, fault.who, fault.share, fault.back)
    world.note_trouble(0.0)
    if fault.kind in LINK_KINDS:
        change_links(world, fault)
    else:
        KINDS[fault.kind](world, fault)


def choose(candidates, fault):
    """Choose those that a fault concerns, in their order."""
    if not candidates:
        return []
    count = max(1, round(fault.share * len(candidates)))
    count = min(count, max(1, len(candidates) - fault.spared))
    picked = random.Random(f"pick {fault.salt}").sample(
        range(len(candidates)), count
    )
    return [candidates[index] for index in sorted(picked)]


def end_upstreams(world, fault):
    for engine in choose(world.list_engines(fault.who), fault):
        world.end_engine(engine, back=fault.back, seconds=fault.seconds)


def change_for(world, fault, targets, begin, end):
    """Change something about some targets for the time of a fault."""
    world.note_trouble(fault.seconds)
    for target in targets:
        begin(target)
        world.clock.callLater(fault.seconds, end, target)


def refuse(world, fault):
    def change(engine, refuses):
        engine.refuses = refuses

    change_for(
        world,
        fault,
        choose(world.list_engines(fault.who), fault),
        lambda engine: change(engine, True),
        lambda engine: change(engine, False),
    )


def silence(world, fault):
    def begin(engine):
        engine.is_silent = True

    def end(engine):
        if engine.is_alive:
            engine.resume()

    engines = choose(world.list_engines(fault.who), fault)
    change_for(world, fault, engines, begin, end)


def slow_down(world, fault):
    def begin(engine):
        engine.slowness = SLOWNESS

    def end(engine):
        engine.slowness = 1.0

    engines = choose(world.list_engines(fault.who), fault)
    change_for(world, fault, engines, begin, end)


def reset_connections(world, fault):
    for engine in choose(world.list_engines(fault.who), fault):
        engine.break_connections("connection reset")


def change_links(world, fault):
    """Break the links from some gateways to all upstreams."""
    ports = sorted(world.engines)

    def begin(process):
        for port in ports:
            world.links.set(process.gateway, port, LINK_KINDS[fault.kind])
            if world.links.breaks_open(process.gateway, port):
                process.gateway.pool.drop_address(("10.0.0.1", port))
        for run in list(process.runs):
            if run.is_open and world.links.breaks_open(
                process.gateway, run.connection.address[1]
            ):
                world.close_run(run)
                run.fail("connection reset")

    def end(process):
        for port in ports:
            world.links.set(process.gateway, port, LinkState.WHOLE)

    processes = choose(world.list_processes(fault.who), fault)
    change_for(world, fault, processes, begin, end)


def stop_store(state):
    def change(world, fault):
        change_for(
            world,
            fault,
            [world.store],
            lambda store: store.set_state(state),
            lambda store: store.set_state("whole"),
        )

    return change


def delay_answers(world, fault):
    def change(store, seconds):
        store.late_seconds = seconds

    change_for(
        world,
        fault,
        [world.store],
        lambda store: change(store, LATE_ANSWER_S),
        lambda store: change(store, 0.0),
    )


def delay_watches(world, fault):
    def change(store, seconds):
        store.watch_late_seconds = seconds

    change_for(
        world,
        fault,
        [world.store],
        lambda store: change(store, fault.seconds),
        lambda store: change(store, 0.0),
    )


def lose_writes(world, fault):
    world.store.writes_to_lose += fault.count


def lose_replies(world, fault):
    world.store.replies_to_lose += fault.count


def delay_writes(world, fault):
    world.store.writes_to_delay += fault.count
    world.note_trouble(1.0)


def compact(world, fault):
    world.store.compact()


def cut_store(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        lambda process: process.wire.set_cut(True),
        lambda process: process.wire.set_cut(False),
    )


def kill(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        world.kill_process,
        world.restart_process,
    )


def pause(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        lambda process: process.pause(),
        lambda process: process.resume(),
    )


def isolate(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        lambda process: world.isolated.add(process.port),
        lambda process: world.isolated.discard(process.port),
    )


def lose_datagrams(world, fault):
    def change(share):
        world.lost_share = share

    change_for(world, fault, [fault.share], change, lambda share: change(0.0))


KINDS = {
    "end": end_upstreams,
    "refuse": refuse,
    "silence": silence,
    "slow": slow_down,
    "reset": reset_connections,
    "store refuses": stop_store("refuses"),
    "store silent": stop_store("silent"),
    "store late": delay_answers,
    "watches late": delay_watches,
    "writes lost": lose_writes,
    "replies lost": lose_replies,
    "writes late": delay_writes,
    "compaction": compact,
    "store cut": cut_store,
    "kill": kill,
    "pause": pause,
    "isolate": isolate,
    "datagrams lost": lose_datagrams,
    **dict.fromkeys(LINK_KINDS, change_links),
}
