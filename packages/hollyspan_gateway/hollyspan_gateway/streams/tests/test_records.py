"""Tests of the records of versions in the store."""

import pytest
from twisted.internet import defer

from hollyspan_core.store import Entry
from hollyspan_gateway.store import Mirror
from hollyspan_gateway.streams.records import VERSIONS_PREFIX
from hollyspan_policy.hashing import hash_parts
from hollyspan_standins.memory import build_entry
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import build_table

TTL_S = 120.0
V1 = hash_parts("m", "v1")


@pytest.fixture
def fleet(build_fleet):
    return build_fleet(gateways=5)


def list_records(wire):
    return sorted(key for key in wire.entries if key.startswith("hs/v/"))


def get_records(gateway):
    return gateway.stream_versions.version_records


def find(fleet, *, gateway=0, route=None, seconds=0.1):
    """Return the answers of a find within some seconds, none or one."""
    answers = []
    versions = fleet.gateways[gateway].stream_versions
    work = versions.search.find(route or build_route())

    async def collect():
        answers.append(await work)

    defer.ensureDeferred(collect())
    fleet.advance(seconds)
    return answers


def replace_upstreams(fleet, version):
    fleet.restarts = False
    ports = list(fleet.upstreams.values())
    for name in list(fleet.upstreams):
        fleet.end_upstream(name)
    for port in ports:
        fleet.start_upstream(port=port, version=version)


def test_each_version_of_a_route_is_recorded(fleet, wire):
    fleet.advance(0.2)
    (first,) = list_records(wire)
    fleet.start_upstream(port=20, version="v2")
    fleet.advance(0.2)
    assert len(list_records(wire)) == 2
    assert first in list_records(wire)
    assert find(fleet) == [None]


def test_the_single_version_is_found(fleet):
    fleet.advance(0.2)
    assert find(fleet) == [V1]


def test_few_gateways_write(build_fleet, wire):
    fleet = build_fleet(gateways=30)
    fleet.advance(5.0)
    writes = wire.calls.count("commit")
    fleet.start_upstream(port=20, version="v2")
    fleet.advance(10.0)
    assert wire.calls.count("commit") - writes <= 3


def test_another_gateway_writes_in_place_of_one_that_has_ended(fleet, wire):
    fleet.advance(5.0)
    # The members have not noticed yet.
    for number in (0, 1):
        fleet.kill_gateway(number)
    fleet.start_upstream(port=20, version="v2")
    fleet.advance(8.0)
    assert len(list_records(wire)) == 2


def test_writers_are_chosen_again_when_gateways_have_changed(fleet, wire):
    fleet.advance(1.0)
    wire.is_down = True
    fleet.start_upstream(port=20, version="v2")
    fleet.advance(0.2)
    (key,) = get_records(fleet.gateways[0]).served - set(list_records(wire))
    for number, gateway in enumerate(list(fleet.gateways)):
        if get_records(gateway).is_writer[key]:
            fleet.kill_gateway(number)
            get_records(gateway).served = set()
    # Their last attempts fail, too.
    fleet.advance(3.0)
    wire.is_down = False
    assert key not in wire.entries
    fleet.advance(20.0)
    assert key in wire.entries


def test_a_record_is_written_once_the_store_is_back(fleet, wire):
    wire.is_down = True
    fleet.advance(5.0)
    assert list_records(wire) == []
    wire.is_down = False
    fleet.advance(3.0)
    assert find(fleet) == [V1]


def test_a_version_that_came_and_went_without_the_store_is_recorded(
    fleet, wire
):
    fleet.advance(5.0)
    wire.is_down = True
    replace_upstreams(fleet, "v2")
    fleet.advance(3.0)
    replace_upstreams(fleet, "v1")
    fleet.advance(3.0)
    wire.is_down = False
    fleet.advance(2.0)
    assert len(list_records(wire)) == 2
    assert find(fleet) == [None]
    fleet.advance(2 * TTL_S)
    assert find(fleet) == [V1]


def test_a_version_that_is_gone_counts_until_no_stream_is_remembered(
    fleet, wire
):
    fleet.advance(0.2)
    replace_upstreams(fleet, "v2")
    fleet.advance(TTL_S - 10.0)
    assert len(list_records(wire)) == 2
    assert find(fleet) == [None]
    fleet.advance(30.0)
    assert len(list_records(wire)) == 1
    assert find(fleet) == [hash_parts("m", "v2")]


def test_a_version_that_is_back_is_not_removed_by_one_that_missed_it(
    fleet, wire
):
    fleet.advance(0.2)
    (key,) = list_records(wire)
    (first,) = [
        gateway
        for gateway in fleet.gateways
        if get_records(gateway).choose_write_delay(key) == 0.0
    ]
    replace_upstreams(fleet, "v2")
    fleet.advance(TTL_S - 5.0)
    # The others learn nothing of upstreams from now on.
    fleet.gateways = [first]
    fleet.start_upstream(port=20, version="v1")
    fleet.advance(TTL_S)
    assert len(list_records(wire)) == 2


def test_a_version_that_is_back_keeps_its_record(fleet, wire):
    fleet.advance(0.2)
    replace_upstreams(fleet, "v2")
    fleet.advance(10.0)
    fleet.start_upstream(port=20, version="v1")
    fleet.advance(3 * TTL_S)
    assert len(list_records(wire)) == 2


def test_a_record_written_while_it_is_being_removed_stays(fleet, wire):
    fleet.advance(0.2)
    (key,) = list_records(wire)
    replace_upstreams(fleet, "v2")
    fleet.advance(10.0)
    read = wire.read

    async def read_and_write(read_key):
        entry = await read(read_key)
        wire.change({read_key: bytes(16) + b'{"recorded_at": 1.0}'})
        return entry

    wire.read = read_and_write
    fleet.advance(TTL_S + 20.0)
    assert key in wire.entries


def test_a_record_written_since_it_was_read_stays(fleet, wire, run, store):
    fleet.advance(0.2)
    (key,) = list_records(wire)
    entry = run(store.get(key))
    run(store.put(key, b"{}"))
    run(store.remove_unchanged(entry))
    assert list_records(wire) == [key]
    run(store.remove_unchanged(run(store.get(key))))
    assert list_records(wire) == []


def test_the_record_of_a_version_that_nobody_saw_leave_is_removed(fleet, wire):
    fleet.advance(0.2)
    (key,) = list_records(wire)
    stale = key[:-16] + "0" * 16
    wire.change({stale: bytes(16) + b'{"recorded_at": 1.0}'})
    for number in range(5):
        assert find(fleet, gateway=number) == [None]
    fleet.advance(TTL_S - 10.0)
    for number in range(5):
        assert find(fleet, gateway=number) == [None]
    fleet.advance(20.0)
    assert list_records(wire) == [key]
    assert find(fleet) == [V1]


def test_a_record_that_cannot_be_read_tells_no_version(fleet, wire):
    fleet.advance(0.2)
    (key,) = list_records(wire)
    wire.change({key[:-16] + "x": bytes(16)})
    assert find(fleet) == [None]


@pytest.mark.parametrize("is_down", [True, False])
def test_a_store_that_does_not_answer_tells_no_version_soon(
    fleet, wire, is_down
):
    fleet.advance(0.2)
    wire.is_down = is_down
    if not is_down:
        wire.read_page = lambda *args, **options: defer.Deferred()
    assert find(fleet, seconds=0.5) == [None]


def test_a_gateway_without_the_store_does_not_ask_it(fleet, wire):
    fleet.advance(0.2)
    fleet.gateways[0].upstreams_mirror.is_connected = False
    wire.calls.clear()
    assert find(fleet, seconds=0.0) == [None]
    assert "read_page" not in wire.calls


def test_requests_that_come_together_are_answered_by_one_read(fleet, wire):
    fleet.advance(0.2)
    wire.calls.clear()
    answers = [find(fleet, seconds=0.0) for _ in range(9)]
    fleet.advance(0.1)
    assert answers == [[V1]] * 9
    assert wire.calls.count("read_page") == 1


def test_a_read_answers_only_requests_that_came_before_it(fleet, wire):
    fleet.advance(0.2)
    read_page = wire.read_page
    held = defer.Deferred()

    async def read_page_late(prefix, **options):
        page = await read_page(prefix, **options)
        await held
        return page

    wire.read_page = read_page_late
    early = find(fleet, seconds=0.05)
    wire.read_page = read_page
    fleet.start_upstream(port=20, version="v2")
    fleet.advance(0.1)
    late = find(fleet, seconds=0.05)
    assert (early, late) == ([], [None])
    held.callback(None)
    # The upstream of the other version is listed by now.
    assert early == [None]


def test_unknown_versions_are_not_read_again_and_again(fleet, wire):
    fleet.start_upstream(port=20, version="v2")
    fleet.advance(0.2)
    wire.calls.clear()
    for _ in range(20):
        assert find(fleet, seconds=0.04) == [None]
    assert wire.calls.count("read_page") == 1


def test_a_route_that_has_moved_to_another_service_tells_no_version(fleet):
    fleet.advance(0.2)
    moved = build_route(services=[("n", 1)])
    for gateway in fleet.gateways:
        entry = build_entry("n1", service="n", port=30, version="v1")
        gateway.directory.update(
            {"n1": entry}
            | {
                upstream.entry.name: upstream.entry
                for upstream in gateway.directory.upstreams.values()
            }
        )
        gateway.routes = build_table([moved], version=2, revision=2)
        get_records(gateway).schedule_update()
    fleet.advance(0.2)
    assert find(fleet, route=moved) == [None]


def test_a_gateway_records_versions_that_a_configuration_or_the_store_shows(
    reactor, build_gateway, store, wire
):
    gateway = build_gateway(upstreams=())
    gateway.routes = None
    gateway.dialect.decode_upstream = lambda entry: build_entry("u1")
    gateway.dialect.decode_configuration = lambda entry: build_table(
        [build_route()], revision=entry.revision
    )
    mirror = Mirror(
        store=store, reactor=reactor, prefix="any/", on_change=print
    )
    mirror.entries["any/u1"] = Entry(
        key="any/u1", content=b"", token=b"", revision=5, lease=0
    )
    gateway.apply_configuration(mirror)
    reactor.advance(1.0)
    assert list_records(wire) == []
    gateway.apply_upstreams(mirror)
    reactor.advance(1.0)
    assert len(list_records(wire)) == 1
    gateway.dialect.decode_configuration = lambda entry: build_table(
        [build_route(), build_route(prefix="/t/")], revision=entry.revision + 1
    )
    gateway.apply_configuration(mirror)
    reactor.advance(1.0)
    assert len(list_records(wire)) == 2


def test_routes_that_may_not_resume_leave_no_record(
    reactor, build_gateway, wire
):
    gateway = build_gateway(routes=[build_route(is_resumable=False)])
    get_records(gateway).schedule_update()
    reactor.advance(1.0)
    assert list_records(wire) == []


def test_services_that_a_route_gives_no_weight_leave_no_record(
    reactor, build_gateway, wire
):
    route = build_route(services=[("m", 0), ("n", 1)])
    gateway = build_gateway(routes=[route])
    get_records(gateway).schedule_update()
    reactor.advance(1.0)
    assert list_records(wire) == []


def test_the_memory_of_versions_that_are_gone_is_bounded(fleet):
    records = get_records(fleet.gateways[0])
    for number in range(3000):
        records.note_gone(f"{VERSIONS_PREFIX}{number:016x}")
    assert len(records.gone_at) == 1024
