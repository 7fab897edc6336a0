"""Tests of items whose owner lives and leaves them alone."""

import contextlib

import pytest
from twisted.internet import defer

from hollyspan_gateway.crashes.block_list import BlockList
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.jobs.records import build_result_key
from hollyspan_gateway.jobs.records import build_results_prefix
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.worker import Worker
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.store import Store
from hollyspan_policy.hashing import hash_parts
from hollyspan_standins.memory import fleet as memory_fleet
from hollyspan_standins.memory import LinkState
from hollyspan_standins.memory import MemoryWire

ITEMS = 12
# Time that the users leave for the items of a job.
FINISH_S = 18.0
PART = 7


@pytest.fixture
def fleet(build_fleet, helpers, reactor, monkeypatch):
    """Four gateways that run items, and one that does not.

    An item takes five seconds.
    """
    monkeypatch.setattr(memory_fleet, "EVENTS_PER_ANSWER", 100)
    route = helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )
    fleet = build_fleet(gateways=4, routes=[route], runs_batch=True)
    fleet.add_gateway(runs_batch=False)
    for gateway in fleet.gateways[:4]:
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
    fleet.advance(5.0)
    return fleet


@pytest.fixture
def submit(store, run, reactor):
    """Return a function that stores a job."""

    def create(count=ITEMS, *, name="j", age=0.0):
        now = reactor.seconds()
        job = Job(
            identifier=name,
            host="h",
            path="/b/",
            submitted=now - age,
            due=now + 18.0,
            retained_until=now + 60.0,
            items=[
                Item(
                    identifier=f"{name}{number}",
                    path="/b/x",
                    headers=[("part", str(PART))],
                    body=b"",
                )
                for number in range(count)
            ],
        )
        run(store.create(encode_job(job)))

    return create


def list_done(wire, name="j"):
    """Return the items with results."""
    prefix = build_results_prefix(name)
    return {
        key.removeprefix(prefix)
        for key in wire.entries
        if key.startswith(prefix)
    }


def list_sent(fleet):
    """Return the items of all runs."""
    return [send.connection.headers[b"id"].decode() for send in fleet.sent]


def never():
    return defer.Deferred()


def miss_new_jobs(fleet, gateway):
    gateway.worker.catalogue.mirror.stop()


def keep_placeholders(fleet, gateway):
    async def load(identifier, entry, *, has_read_results):
        """Read nothing, so that the placeholder stays."""

    gateway.worker.catalogue.load_job_state = load


def have_no_room(fleet, gateway):
    gateway.worker.catalogue.room.limit = 0


def never_read_results(fleet, gateway):
    async def read(job_state):
        job_state.is_reading_results = True
        await never()

    gateway.worker.catalogue.read_results = read


def start_nothing(fleet, gateway):
    gateway.worker.try_start_item = lambda state: None


def know_no_configuration(fleet, gateway):
    gateway.routes = None


def hold_the_rounds(fleet, gateway):
    gateway.worker.start_items = lambda: None


def store_nothing(fleet, gateway):
    wire = MemoryWire(reactor=fleet.reactor)
    wire.is_down = True
    gateway.store = Store(
        wire=wire, reactor=fleet.reactor, create_token=lambda: bytes(16)
    )


def never_get_an_answer_of_the_store(fleet, gateway):
    wire = MemoryWire(reactor=fleet.reactor)

    async def commit(*, expected, values, removed):
        await never()

    wire.commit = commit
    gateway.store = Store(
        wire=wire, reactor=fleet.reactor, create_token=lambda: bytes(16)
    )


def never_connect(fleet, gateway):
    async def acquire(address, *, timeout=1.0, identifier=None):
        await never()

    gateway.pool.acquire = acquire


def see_no_place(fleet, gateway):
    gateway.peers.list_loads = list
    gateway.handle_load_change = lambda upstream, *, is_batch_only: None
    for upstream in gateway.directory.upstreams.values():
        upstream.online = upstream.entry.slots


def name_all_items_as_its_work(fleet, gateway):
    start_nothing(fleet, gateway)
    worker = gateway.worker
    describe = worker.describe

    def describe_all():
        items = [
            state.key
            for job_state in worker.catalogue.list_incomplete()
            for state in job_state.items.values()
        ]
        return {**describe(), "items": items, "progress": [0] * len(items)}

    worker.describe = describe_all


def take_itself_for_no_worker(fleet, gateway):
    peers = [each.peers.identifier for each in fleet.gateways[1:4]]
    gateway.list_workers = lambda: peers


def be_heard_by_a_front_only(fleet, gateway):
    start_nothing(fleet, gateway)
    for port in (1001, 1002, 1003):
        fleet.network.blocked |= {(1000, port), (port, 1000)}


BROKEN = (
    miss_new_jobs,
    keep_placeholders,
    have_no_room,
    never_read_results,
    start_nothing,
    know_no_configuration,
    hold_the_rounds,
    store_nothing,
    never_get_an_answer_of_the_store,
    never_connect,
    see_no_place,
    name_all_items_as_its_work,
    take_itself_for_no_worker,
    be_heard_by_a_front_only,
)


# Failure: items whose owner lived but did not run them stayed open to the
# end, though other workers and most upstreams were free.
@pytest.mark.parametrize("breaks", BROKEN)
def test_items_of_an_owner_that_leaves_them_alone_are_done_in_time(
    fleet, submit, wire, breaks
):
    breaks(fleet, fleet.gateways[0])
    # Results are read first for a job of this age.
    submit(age=2.0)
    fleet.advance(FINISH_S)
    assert len(list_done(wire)) == ITEMS


@pytest.mark.parametrize("breaks", [miss_new_jobs, see_no_place])
def test_items_of_two_owners_that_leave_them_alone_are_done_in_time(
    fleet, submit, wire, breaks
):
    for gateway in fleet.gateways[:2]:
        breaks(fleet, gateway)
    submit()
    fleet.advance(FINISH_S)
    assert len(list_done(wire)) == ITEMS


# Failure: the same, with an owner whose runs all failed without an event.
@pytest.mark.parametrize("state", list(LinkState))
def test_items_of_an_owner_without_links_are_done_in_time(
    fleet, submit, wire, state
):
    fleet.set_links(fleet.gateways[0], state)
    submit()
    fleet.advance(FINISH_S)
    assert len(list_done(wire)) == ITEMS


def test_items_are_run_once_while_datagrams_are_lost(fleet, submit, wire):
    fleet.lose_datagrams()
    for number in range(8):
        submit(name=f"j{number}-")
        fleet.advance(4.0)
    fleet.advance(10.0)
    sent = list_sent(fleet)
    assert len(sent) == len(set(sent)) == 8 * ITEMS


def test_items_are_run_once_while_all_owners_are_sound(fleet, submit, wire):
    for number in range(8):
        submit(name=f"j{number}-")
        fleet.advance(1.5)
    fleet.advance(20.0)
    sent = list_sent(fleet)
    assert len(sent) == len(set(sent)) == 8 * ITEMS


def test_items_that_wait_for_places_are_left_to_their_owners(
    fleet, submit, wire
):
    for number in range(16):
        submit(name=f"j{number}-")
    fleet.advance(40.0)
    assert len(set(list_sent(fleet))) == 16 * ITEMS
    # One that was preempted runs again, at the same gateway.
    runs = {
        (send.connection.headers[b"id"], send.gateway) for send in fleet.sent
    }
    assert len(runs) == 16 * ITEMS


@pytest.mark.parametrize("count", [2, 4, 8])
def test_items_are_run_to_the_end_once_while_jobs_exceed_the_places(
    fleet, submit, wire, count
):
    for number in range(12):
        for each in range(count):
            submit(name=f"j{number}-{each}-")
        fleet.advance(3.0)
    fleet.advance(10.0)
    whole = [
        send.connection.headers[b"id"]
        for send in fleet.sent
        if send.last_event == memory_fleet.EVENTS_PER_ANSWER
    ]
    assert len(whole) == len(set(whole)) > 100


def test_items_are_run_once_after_a_wait_for_places_of_online_requests(
    fleet, submit, wire
):
    front = fleet.gateways[4]
    with contextlib.ExitStack() as requests:
        for upstream in front.directory.upstreams.values():
            for _ in range(upstream.entry.slots):
                requests.enter_context(front.placement.track_online(upstream))
        fleet.advance(1.0)
        submit()
        fleet.advance(12.0)
        assert list_sent(fleet) == []
    fleet.advance(8.0)
    sent = list_sent(fleet)
    assert len(sent) == len(set(sent)) == ITEMS


def test_a_blocked_item_stays_blocked_for_all_gateways(
    fleet, submit, wire, reactor
):
    for gateway in fleet.gateways:
        gateway.guard.block_list.add(
            frozenset({PART}), at=reactor.seconds(), failed_trials=2
        )
    submit()
    fleet.advance(12.0)
    assert list_sent(fleet) == []


def test_an_item_between_two_runs_is_left_to_its_owner(
    fleet, submit, wire, reactor
):
    submit(1)
    fleet.advance(0.5)
    (owner,) = (each for each in fleet.gateways[:4] if each.worker.running)
    (state,) = owner.worker.running.values()
    state.run.cancel()
    state.not_before = reactor.seconds() + 9.9
    fleet.advance(9.5)
    assert len(fleet.sent) == 1
    fleet.advance(6.0)
    assert {send.gateway for send in fleet.sent} == {owner}
    assert len(list_done(wire)) == 1


def test_items_are_run_once_while_two_workers_do_not_hear_each_other(
    fleet, submit, wire
):
    fleet.network.blocked |= {(1000, 1001), (1001, 1000)}
    for number in range(6):
        submit(name=f"j{number}-")
        fleet.advance(6.0)
    sent = list_sent(fleet)
    assert len(sent) == len(set(sent)) == 6 * ITEMS


def test_items_are_run_once_beside_workers_that_tell_less(
    fleet, submit, wire, monkeypatch
):
    for gateway in fleet.gateways[:2]:
        worker = gateway.worker
        gateway.worker.describe = lambda worker=worker: {
            "items": list(worker.running)
        }
    for number in range(6):
        submit(name=f"j{number}-")
        fleet.advance(6.0)
    sent = list_sent(fleet)
    assert len(sent) == len(set(sent)) == 6 * ITEMS


def test_few_results_are_looked_up_while_all_owners_are_sound(
    fleet, submit, wire
):
    fleet.advance(1.0)
    wire.calls.clear()
    for number in range(4):
        submit(name=f"j{number}-")
        fleet.advance(6.0)
    fleet.advance(12.0)
    assert wire.calls.count("read") <= 4
    assert not any(
        gateway.worker.catalogue.list_incomplete()
        for gateway in fleet.gateways[:4]
    )


def test_a_gateway_that_counts_itself_out_starts_nothing_it_has_taken(
    fleet, submit, wire
):
    start_nothing(fleet, fleet.gateways[0])
    submit()
    fleet.advance(0.5)
    for gateway in fleet.gateways[1:4]:
        peers = [
            peer.peers.identifier
            for peer in fleet.gateways[:4]
            if peer is not gateway
        ]
        gateway.list_workers = lambda peers=peers: peers
        for state in gateway.worker.catalogue.jobs["j"].items.values():
            state.is_taken = state.run is None
    sent = len(fleet.sent)
    fleet.advance(3.0)
    assert len(fleet.sent) == sent
    hindrances = {
        state.hindrance
        for gateway in fleet.gateways[1:4]
        for state in gateway.worker.catalogue.jobs["j"].items.values()
    }
    assert "start_failed" not in hindrances


def test_a_result_that_is_stored_is_looked_up_before_the_item_is_run(
    fleet, submit, wire
):
    start_nothing(fleet, fleet.gateways[0])
    submit()
    fleet.advance(3.0)
    left = {f"j{number}" for number in range(ITEMS)} - set(list_sent(fleet))
    assert left
    for item in left:
        wire.change({build_result_key("j", item): bytes(16) + b"done\nt1"})
    fleet.advance(15.0)
    assert not left.intersection(list_sent(fleet))
    assert len(list_done(wire)) == ITEMS


def test_items_of_a_large_fleet_are_done_in_time(
    build_fleet, helpers, reactor, monkeypatch, submit, wire
):
    monkeypatch.setattr(memory_fleet, "EVENTS_PER_ANSWER", 100)
    monkeypatch.setattr(memory_fleet, "CLOCK_STEP_S", 0.05)
    route = helpers.build_route(
        host="h", prefix="/b/", kind=RouteKind.BATCH, max_attempts=3
    )
    fleet = build_fleet(
        gateways=12, upstreams=12, routes=[route], runs_batch=True
    )
    for _ in range(16):
        fleet.add_gateway(runs_batch=False)
    for gateway in fleet.gateways[:12]:
        gateway.worker = Worker(gateway=gateway)
        gateway.worker.start()
    fleet.advance(8.0)
    submit(40, name="sound")
    fleet.advance(10.0)
    assert len(list_done(wire, "sound")) == len(fleet.sent) == 40
    assert "read" not in wire.calls
    start_nothing(fleet, fleet.gateways[0])
    submit(40)
    fleet.advance(FINISH_S)
    assert len(list_done(wire)) == 40
    assert len(fleet.sent) == 80


# Failure: an item ran twice that its owner had started while its result was
# looked up.
def test_an_item_that_is_started_during_the_lookup_is_left_to_its_owner(
    fleet, submit, wire
):
    owner, *others = fleet.gateways[:4]
    start = owner.worker.try_start_item
    start_nothing(fleet, owner)
    lookups = []
    for gateway in others:

        async def read(key):
            answer = defer.Deferred()
            lookups.append(answer)
            return await answer

        slow = MemoryWire(reactor=fleet.reactor)
        slow.read = read
        slow.commit = wire.commit
        gateway.store = Store(
            wire=slow,
            reactor=fleet.reactor,
            create_token=gateway.store.create_token,
        )
    submit()
    while not lookups:
        fleet.advance(0.1)
    owner.worker.try_start_item = start
    fleet.advance(2.0)
    for answer in lookups:
        answer.callback(None)
    fleet.advance(6.0)
    sent = list_sent(fleet)
    assert len(sent) == len(set(sent)) == ITEMS


# Failure: items that had been blocked ran at two gateways after the end of
# the block, as if their owners had left them alone all the time.
def test_items_are_left_to_their_owners_after_the_end_of_a_block(
    fleet, submit, wire, reactor, monkeypatch
):
    for gateway in fleet.gateways:
        gateway.guard.block_list.add(frozenset({PART}), at=reactor.seconds())
    submit()
    # Before any of them runs, since those of complete jobs are forgotten.
    fleet.advance(2.0)
    assert not list_sent(fleet)
    owners = {}
    for gateway in fleet.gateways[1:4]:
        for state in gateway.worker.catalogue.jobs["j"].items.values():
            owners[state.item.identifier] = state.owner
    fleet.advance(10.0)
    # The others learn of the end of the block a moment before the owner.
    monkeypatch.setattr(BlockList, "add", lambda self, keys, **values: None)
    for gateway in (*fleet.gateways[1:], fleet.gateways[0]):
        gateway.guard.block_list.blocks.clear()
        fleet.advance(0.5)
    fleet.advance(8.0)
    assert len(list_sent(fleet)) == len(owners) == ITEMS
    for send in fleet.sent:
        item = send.connection.headers[b"id"].decode()
        assert send.gateway.peers.identifier == owners[item]


# Failure: the state of each item was kept until its job was removed.
def test_items_of_complete_jobs_are_forgotten_by_all(fleet, submit, wire):
    submit()
    fleet.advance(30.0)
    assert len(list_done(wire)) == ITEMS
    workers = [gateway.worker for gateway in fleet.gateways[:4]]
    assert [worker.catalogue.count_items() for worker in workers] == [0] * 4
    sends, calls = len(fleet.sent), wire.calls.count("read")
    # One leaves: the others are told that nothing is left of its items.
    left = sorted(worker.gateway.peers.identifier for worker in workers[1:])
    for worker in workers[1:]:
        worker.gateway.list_workers = lambda: left
        worker.reread_results()
    fleet.advance(6.0)
    assert len(fleet.sent) == sends
    assert wire.calls.count("read") == calls
    told = [
        key
        for worker in workers[1:]
        for key in worker.claims.list_finished()
        if key == hash_parts("j", *left)
    ]
    assert len(told) >= 2
