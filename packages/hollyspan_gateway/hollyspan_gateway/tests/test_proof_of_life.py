"""Tests of what is known of the store while its connections are silent."""

import pytest

from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.clock import wait
from hollyspan_gateway.jobs.records import build_end_key
from hollyspan_gateway.jobs.records import build_job_key
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.peers import decode_message
from hollyspan_gateway.peers import encode_message
from hollyspan_standins.memory import build_dead_store
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table
from hollyspan_standins.memory import PlainDialect

VALUE = bytes(TOKEN_BYTES)
# Bounds of the users' sites.
CONFIGURATION_BOUND_S = 2.5
DEPARTURE_BOUND_S = 2.5
END_BOUND_S = 3.0
# Age of the last proof in the worst case, when all is well.
STEADY_AGES_S = {"configuration": 2.5, "upstreams": 2.5, "jobs": 2.7}
COPIES = {
    "configuration": ("configuration", CONFIGURATION_BOUND_S),
    "upstreams": ("upstreams/new", DEPARTURE_BOUND_S),
}


class RevisionDialect(PlainDialect):
    """Wire format whose configuration is known by its revision alone."""

    @staticmethod
    def decode_configuration(entry):
        return build_table(
            [build_route()], version=entry.revision, revision=entry.revision
        )


class SilentFleet:
    """Fleet that follows a store whose open connections fall silent."""

    def __init__(self, *, fleet, wire):
        self.fleet = fleet
        self.wire = wire
        self.gateways = fleet.gateways
        wire.change({"configuration": VALUE, "upstreams/old": VALUE})
        for gateway in self.gateways:
            self.start(gateway)
        # The turns are spread by then.
        fleet.advance(60.0)

    def start(self, gateway):
        gateway.dialect = RevisionDialect()
        gateway.configuration_mirror.start()
        gateway.upstreams_mirror.start()
        gateway.proof_of_life.start()
        if gateway.settings.runs_batch:
            gateway.worker = Worker(gateway=gateway)
            gateway.worker.start()

    def silence(self):
        """Let no watch that waits now be answered."""
        self.wire.waiting = []

    def count_calls(self, *, seconds):
        start = len(self.wire.calls)
        self.fleet.advance(seconds)
        return self.wire.calls[start:].count("watch")

    def list_late(self, mirrors, key):
        return [mirror for mirror in mirrors if key not in mirror.entries]

    @property
    def asked(self):
        return sum(each.proof_of_life.asked for each in self.gateways)

    @property
    def found(self):
        return sum(each.proof_of_life.found for each in self.gateways)


@pytest.fixture
def build_silent_fleet(build_fleet, wire):
    def build(*, gateways=6, runs_batch=True):
        fleet = build_fleet(
            gateways=gateways, upstreams=2, runs_batch=runs_batch
        )
        return SilentFleet(fleet=fleet, wire=wire)

    return build


@pytest.fixture
def silent(build_silent_fleet):
    return build_silent_fleet()


@pytest.fixture
def build_worker(build_gateway):
    """Return a function that starts a worker that knows of no peer."""

    def build():
        gateway = build_gateway()
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
        gateway.proof_of_life.start()
        return gateway

    return build


# Failure: all open connections fall silent while the far end acknowledges
# keep-alives, so that nobody hears of a change.
@pytest.mark.parametrize("name", sorted(COPIES))
@pytest.mark.parametrize("phase", [0.0, 0.4, 0.8, 1.2])
def test_a_change_reaches_all_though_all_watches_are_silent(
    silent, wire, name, phase
):
    silent.fleet.advance(phase)
    silent.silence()
    key, bound = COPIES[name]
    wire.change({key: VALUE})
    revision = wire.revision
    silent.fleet.advance(bound)
    assert [
        gateway.mirrors[name].entries[key].revision
        for gateway in silent.gateways
    ] == [revision] * len(silent.gateways)


# Failure: one gateway alone hears nothing, and nothing else changes.
@pytest.mark.parametrize("name", sorted(COPIES))
def test_a_change_reaches_a_gateway_whose_watch_is_silent(silent, wire, name):
    mirror = silent.gateways[0].mirrors[name]
    mirror.follower.pause()
    key, bound = COPIES[name]
    waiting, wire.waiting = wire.waiting, []
    mirror.follower.unpause()
    # Its own watch is the only one that stays silent.
    mirror.reopen()
    (silent_one,) = wire.waiting
    wire.waiting = [each for each in waiting if each is not silent_one]
    wire.change({key: VALUE})
    silent.fleet.advance(bound)
    assert mirror.entries[key].revision == wire.revision


# Failure: the same for the end of a job, whose items went on being started.
@pytest.mark.parametrize("phase", [0.0, 0.5, 1.0, 1.5])
def test_no_item_is_started_by_old_knowledge_of_ends(silent, wire, phase):
    wire.change({build_job_key("j"): VALUE})
    silent.fleet.advance(2.0 + phase)
    silent.silence()
    wire.change({build_end_key("j"): VALUE})
    ended_at = silent.fleet.reactor.seconds()
    while silent.fleet.reactor.seconds() < ended_at + 10.0:
        silent.fleet.advance(0.1)
        if silent.fleet.reactor.seconds() < ended_at + END_BOUND_S:
            continue
        for gateway in silent.gateways:
            entries = gateway.worker.catalogue.mirror.entries
            assert (
                build_end_key("j") in entries
                or not gateway.proof_of_life.may_start_items()
            )
    for gateway in silent.gateways:
        assert build_end_key("j") in gateway.worker.catalogue.mirror.entries
        assert gateway.proof_of_life.may_start_items()


def test_a_worker_without_peers_finds_its_own_silent_watch(
    build_worker, wire, reactor
):
    gateway = build_worker()
    reactor.pump([0.1] * 50)
    wire.waiting = []
    wire.change({build_end_key("j"): VALUE})
    reactor.pump([0.1] * 30)
    mirror = gateway.worker.catalogue.mirror
    assert build_end_key("j") in mirror.entries
    assert gateway.proof_of_life.found == 1


def test_items_wait_while_nobody_knows_of_ends(build_worker, wire, reactor):
    gateway = build_worker()
    reactor.pump([0.1] * 50)
    assert gateway.proof_of_life.may_start_items()
    wire.waiting = []

    async def watch_in_vain(prefix, *, after, seconds):
        await wait(reactor, 1000.0)

    wire.watch = watch_in_vain
    reactor.pump([0.1] * 30)
    assert not gateway.proof_of_life.may_start_items()


# Failure: the machine sleeps; answers and datagrams wait in its sockets.
def test_what_was_known_before_a_sleep_is_old(silent):
    gateway = silent.gateways[0]
    clock = gateway.boot_clock
    gateway.boot_clock = lambda: clock() + 10.0
    assert not gateway.proof_of_life.may_start_items()
    other = silent.gateways[1]
    fields = other.describe()
    message = other.peers.build_message(loads=(), is_full=True, **fields)
    gateway.proof_of_life.note_message(message)
    assert not gateway.proof_of_life.may_start_items()
    silent.fleet.advance(3.0)
    assert gateway.proof_of_life.may_start_items()


def test_the_word_of_a_peer_with_newer_entries_proves_nothing(silent):
    gateway, other = silent.gateways[:2]
    proof = gateway.proof_of_life
    mirror = gateway.upstreams_mirror
    mirror.proven_at -= 5.0
    age = mirror.age
    proof.note_message(
        other.peers.build_message(
            loads=(),
            is_full=False,
            upstreams=mirror.revision + 1,
            upstreams_age=0.1,
        )
    )
    assert mirror.age == age
    proof.note_message(
        other.peers.build_message(
            loads=(),
            is_full=False,
            upstreams=mirror.revision,
            upstreams_age=0.1,
        )
    )
    assert mirror.age < 1.0


def test_ages_and_revisions_are_told_in_any_message(silent):
    peers = silent.gateways[0].peers
    message = decode_message(
        encode_message(
            peers.build_message(
                loads=(),
                is_full=False,
                jobs=7,
                jobs_age=0.25,
                upstreams=8,
                upstreams_age=0.5,
                configuration=9,
                configuration_age=2.0,
            )
        )
    )
    assert (message.jobs, message.jobs_age) == (7, 0.25)
    assert (message.upstreams, message.upstreams_age) == (8, 0.5)
    assert (message.configuration, message.configuration_age) == (9, 2.0)
    message = decode_message(
        encode_message(peers.build_message(loads=(), is_full=False))
    )
    assert message.jobs_age is None


# Load: a fleet that stands still, in which each call is paid for.
@pytest.mark.parametrize("gateways", [3, 6, 12])
def test_all_know_their_age_by_one_call_in_turn(build_silent_fleet, gateways):
    silent = build_silent_fleet(gateways=gateways)
    asked = silent.asked
    calls = 0
    for _ in range(60):
        calls += silent.count_calls(seconds=1.0)
        for gateway in silent.gateways:
            for name, bound in STEADY_AGES_S.items():
                assert gateway.proof_of_life.measure_age(name) <= bound
    # The turns of three copies, and the watches of blocks.
    turns = 60 / 1.5 * 2 + 60 / 1.8 + gateways * 60 / 18.0
    assert calls <= 1.05 * turns
    assert silent.asked - asked <= 2
    assert silent.found == 0


# Failure: on its worst days the store answers each call 0.35 s late.
def test_a_slow_store_is_not_taken_for_a_dead_one(silent, wire):
    watch = wire.watch

    async def watch_late(prefix, *, after, seconds):
        page = await watch(prefix, after=after, seconds=seconds)
        await wait(silent.fleet.reactor, 0.35)
        return page

    wire.watch = watch_late
    silent.fleet.advance(20.0)
    asked = silent.asked
    calls = silent.count_calls(seconds=60.0)
    assert calls <= 1.05 * (60 / 1.5 * 2 + 60 / 1.8 + 6 * 60 / 18.0)
    assert silent.asked - asked <= 4
    for gateway in silent.gateways:
        assert gateway.proof_of_life.may_start_items()
        assert gateway.upstreams_mirror.is_connected
    assert silent.found == 0


# Failure: the gateway that has its turn has ended.
def test_a_gateway_that_is_gone_leaves_no_gap(silent):
    silent.fleet.kill_gateway(0)
    gone = silent.gateways[0]
    for mirror in (gone.configuration_mirror, gone.upstreams_mirror):
        mirror.stop()
    gone.worker.stop()
    gone.proof_of_life.must_ask = lambda copy: False
    silent.fleet.advance(20.0)
    for _ in range(100):
        silent.fleet.advance(0.2)
        for gateway in silent.gateways[1:]:
            for name, bound in STEADY_AGES_S.items():
                age = gateway.proof_of_life.measure_age(name)
                # A turn is left out, and the next gateway asks.
                assert age <= bound + 0.4


# Load: the store is away for a whole fleet, which it refuses.
def test_nobody_asks_a_store_that_is_known_to_be_away(silent, wire):
    wire.is_down = True
    wire.wake_all()
    silent.fleet.advance(1.0)
    asked = silent.asked
    silent.fleet.advance(20.0)
    assert silent.asked == asked


# Load: the connections of a large fleet fall silent at one moment.
def test_a_large_fleet_opens_its_watches_again_one_after_the_other(
    build_silent_fleet, wire
):
    silent = build_silent_fleet(gateways=40)
    silent.silence()
    asked = silent.asked
    wire.change({"configuration": VALUE})
    calls = [silent.count_calls(seconds=0.05) for _ in range(60)]
    assert all(
        gateway.configuration_mirror.revision == wire.revision
        for gateway in silent.gateways
    )
    # Three copies; few ask before the first answer is told.
    assert silent.asked - asked <= 3 * 4
    # The watches of the configuration, twice since they bring a change, and
    # of blocks, with those whose turn it is; not all at one moment.
    turns = 3 * 40 * 3.0 / 18.0
    assert sum(calls) <= 3 * 40 + silent.asked - asked + turns
    assert max(calls) < 3 * 40 / 2


# Failure: a gateway that reaches only its peers takes their word.
def test_a_gateway_without_the_store_knows_the_age_from_its_peers(
    silent, reactor
):
    gateway = silent.gateways[0]
    dead = build_dead_store(reactor)
    for mirror in (
        gateway.configuration_mirror,
        gateway.upstreams_mirror,
        gateway.worker.catalogue.mirror,
    ):
        mirror.store = dead
        mirror.follower.cancel()
    for _ in range(50):
        silent.fleet.advance(0.2)
        assert gateway.proof_of_life.may_start_items()
