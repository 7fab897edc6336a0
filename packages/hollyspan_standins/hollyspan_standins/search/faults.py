"""What faults do to the processes of a run."""

import random

from ..memory import LinkState
from .dialect import CONFIGURATION_KEY
from .network import ADDRESS
from .world import PREPARATION_S

__all__ = ["KINDS", "NEVER_S", "plan_faults", "play"]

LINK_KINDS = {
    "link hangs": LinkState.HANGS,
    "link refuses": LinkState.REFUSES,
    "link resets": LinkState.RESET,
    "link resets requests": LinkState.RESETS_REQUESTS,
    "link accepts and resets": LinkState.ACCEPTS_AND_RESETS,
}
SLOWNESS = 6.0
LATE_ANSWER_S = 0.6
# Time until another upstream takes the place of one that has left.
RETURN_S = 0.5
# Time until the last gateway of its role comes back.
LAST_RETURN_S = 2.0
# Time in which entries that have expired are back, and the one from the
# announcement of an upstream's end to it.
RENEWAL_S = 2.0
LEAVING_S = 2.0
# A gateway that is killed for longer does not come back.
NEVER_S = 60.0


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
    """Break the links from some gateways to a share of the upstreams."""
    ports = [engine.port for engine in world.list_engines()]
    ports = random.Random(f"links {fault.salt}").sample(
        ports, round(fault.reach * len(ports))
    )

    def begin(process):
        for port in ports:
            world.links.set(process.gateway, port, LINK_KINDS[fault.kind])
            if world.links.breaks_open(process.gateway, port):
                process.gateway.pool.drop_address((ADDRESS, port))
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


def miss_changes(world, fault):
    world.store.watches_to_miss += fault.count


def cut_values(world, fault):
    world.store.values_to_cut += fault.count


def compact(world, fault):
    world.store.compact()


def cut_store(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        lambda process: process.wire.set_state("silent"),
        lambda process: process.wire.set_state("whole"),
    )


def turn_away(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        lambda process: process.wire.set_state("refuses"),
        lambda process: process.wire.set_state("whole"),
    )


def cut_off(world, fault):
    """Cut gateways off from all others, upstreams and the store."""
    ports = sorted(world.engines)

    def begin(process):
        process.wire.set_state("silent")
        world.deaf.add(process.port)
        world.mute.add(process.port)
        for port in ports:
            world.links.set(process.gateway, port, LinkState.HANGS)

    def end(process):
        process.wire.set_state("whole")
        world.deaf.discard(process.port)
        world.mute.discard(process.port)
        for port in ports:
            world.links.set(process.gateway, port, LinkState.WHOLE)

    processes = choose(world.list_processes(fault.who), fault)
    change_for(world, fault, processes, begin, end)


def lapse(world, fault):
    """Let entries expire during an outage of the store."""

    def end(store):
        engines = choose(world.list_engines(), fault)
        world.lapse_entries(engines, seconds=RENEWAL_S)
        store.set_state("whole")

    change_for(
        world,
        fault,
        [world.store],
        lambda store: store.set_state("refuses"),
        end,
    )


def replace(world, fault):
    """Replace gateways for good by others at other addresses."""
    for process in choose(world.list_processes(fault.who), fault):
        world.kill_process(process)
        world.note_trouble(fault.seconds)
        world.clock.callLater(fault.seconds, add, world, process.is_worker)


def add(world, is_worker):
    world.add_process(is_worker=is_worker)


def add_gateways(world, fault):
    for _ in range(fault.count):
        world.add_process(is_worker=fault.who != "front")


def change_configuration(world, fault):
    world.store.change({CONFIGURATION_KEY: b"2"})


def release(world, fault):
    """Replace upstreams one after the other by those of a newer version."""
    delay = 0.0
    for engine in choose(world.list_engines(), fault):
        world.clock.callLater(delay, begin_release, world, engine)
        delay += fault.seconds
    world.note_trouble(delay + LEAVING_S)


def begin_release(world, engine):
    if not engine.is_alive:
        return
    engine.is_leaving = True
    world.register_engine(engine)

    def end():
        world.end_engine(engine, back="newer", seconds=RETURN_S)

    world.clock.callLater(LEAVING_S, end)


def kill(world, fault):
    for process in choose(world.list_processes(fault.who), fault):
        world.kill_process(process)
        seconds = fault.seconds
        role = "worker" if process.is_worker else "front"
        if seconds >= NEVER_S:
            if world.list_processes(role):
                continue
            # One of each role is always there in the end.
            seconds = LAST_RETURN_S
        world.note_trouble(seconds)
        world.clock.callLater(seconds, world.restart_process, process)


def pause(world, fault):
    change_for(
        world,
        fault,
        choose(world.list_processes(fault.who), fault),
        lambda process: process.pause(),
        lambda process: process.resume(),
    )


def isolate(*directions):
    """Return a function that drops the datagrams from or to gateways."""

    def change(world, fault):
        def begin(process):
            for name in directions:
                getattr(world, name).add(process.port)

        def end(process):
            for name in directions:
                getattr(world, name).discard(process.port)

        processes = choose(world.list_processes(fault.who), fault)
        change_for(world, fault, processes, begin, end)

    return change


def stop(world, fault):
    for process in choose(world.list_processes(fault.who), fault):
        world.stop_process(process, seconds=fault.seconds)


def retire(world, fault):
    for process in choose(world.list_processes("worker"), fault):
        world.retire_process(process, seconds=fault.seconds)
        world.note_trouble(fault.seconds)


def leave(world, fault):
    """Let upstreams announce their end, and end some seconds later."""

    def begin(engine):
        engine.is_leaving = True
        world.register_engine(engine)

    def end(engine):
        world.end_engine(engine, back="other", seconds=RETURN_S)

    engines = choose(world.list_engines(fault.who), fault)
    change_for(world, fault, engines, begin, end)


def send_faulty(answer_fault):
    """Return a function that makes upstreams send faulty answers."""

    def change(world, fault):
        def set_fault(engine, value):
            engine.answer_fault = value

        change_for(
            world,
            fault,
            choose(world.list_engines(fault.who), fault),
            lambda engine: set_fault(engine, answer_fault),
            lambda engine: set_fault(engine, None),
        )

    return change


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
    "watches miss": miss_changes,
    "values cut": cut_values,
    "store cut": cut_store,
    "store turns away": turn_away,
    "entries lapse": lapse,
    "cut off": cut_off,
    "replace": replace,
    "add": add_gateways,
    "configuration": change_configuration,
    "release": release,
    "kill": kill,
    "pause": pause,
    "stop": stop,
    "retire": retire,
    "leave": leave,
    "answers broken": send_faulty("broken"),
    "answers cut": send_faulty("cut"),
    "answers empty": send_faulty("empty"),
    "isolate": isolate("deaf", "mute"),
    "deaf": isolate("deaf"),
    "mute": isolate("mute"),
    "datagrams lost": lose_datagrams,
    **dict.fromkeys(LINK_KINDS, change_links),
}
