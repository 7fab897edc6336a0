"""Tests of the paces of upstreams that have started or recovered."""

import functools

import pytest

from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_gateway.peers import UpstreamLoad
from hollyspan_gateway.routes import RouteKind
from hollyspan_policy.hashing import hash_parts

# A service with little room: each upstream runs about six of eight requests.
UPSTREAMS = 14
RATE_PER_S = 100.0
WARM_S = 8.0


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(gateways=8, upstreams=UPSTREAMS, paces_upstreams=True)
    run_load(fleet, WARM_S, name="warm")
    return fleet


def run_load(fleet, seconds, *, rate=RATE_PER_S, name="q", watch=None):
    """Send requests to the gateways in turn and return them."""
    requests = []
    for number in range(round(seconds * rate)):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        requests.append(fleet.request(f"{name}{number}", gateway=gateway))
        fleet.advance(1.0 / rate)
        if watch is not None:
            watch()
    return requests


def start_upstream(fleet, *, delay=None):
    """Start another upstream and return its name."""
    if delay is not None:
        fleet.start_delays[f"u{fleet.started_count + 1}"] = delay
    fleet.start_upstream(port=UPSTREAMS + fleet.started_count + 1)
    return f"u{fleet.started_count}"


def list_paces(fleet, name):
    """Return what each gateway allows an upstream."""
    return [
        gateway.directory.upstreams[name].pace.allowed
        for gateway in fleet.gateways
    ]


def find_most_open(fleet, name, seconds, tag="q"):
    """Return the most requests in flight at an upstream under load."""
    counts = [0]
    run_load(
        fleet,
        seconds,
        watch=lambda: counts.append(fleet.count_open(name)),
        name=tag,
    )
    return max(counts)


def test_an_upstream_that_starts_slowly_is_not_flooded(fleet):
    name = start_upstream(fleet, delay=lambda open_requests: 0.6)
    assert find_most_open(fleet, name, 2.0) <= 2


def test_an_upstream_that_slows_down_under_load_gets_what_it_bears(fleet):
    name = start_upstream(fleet, delay=lambda count: 0.15 * count)
    assert find_most_open(fleet, name, 6.0) <= 3


def test_an_upstream_that_answers_like_its_peers_is_not_idle(fleet):
    name = start_upstream(fleet)
    run_load(fleet, 0.5)
    counts = [fleet.count_open(each) for each in fleet.upstreams]
    assert fleet.count_open(name) >= sum(counts) / len(counts) - 2
    assert set(list_paces(fleet, name)) == {None}


def test_an_upstream_with_answers_without_events_is_not_idle(
    build_fleet, helpers
):
    route = helpers.build_route(kind=RouteKind.IDEMPOTENT, latency_target=2.0)
    fleet = build_fleet(
        gateways=8, upstreams=4, routes=[route], paces_upstreams=True
    )
    run_load(fleet, WARM_S, rate=25.0, name="warm")
    name = start_upstream(fleet)
    run_load(fleet, 6.0, rate=25.0)
    assert set(list_paces(fleet, name)) == {None}


def test_an_upstream_that_is_slow_once_is_not_idle(fleet):
    delays = iter([0.6, 0.6])
    name = start_upstream(fleet, delay=lambda count: next(delays, 0.05))
    run_load(fleet, 4.0)
    counts = [fleet.count_open(each) for each in fleet.upstreams]
    assert fleet.count_open(name) >= sum(counts) / len(counts) - 2


def test_an_upstream_that_stays_slow_is_still_tried(fleet):
    name = start_upstream(fleet, delay=lambda open_requests: 0.45)
    for number in range(4):
        since = fleet.reactor.seconds()
        assert find_most_open(fleet, name, 2.0, tag=f"p{number}-") <= 2
        assert any(
            send.upstream == name and send.time > since for send in fleet.sent
        )


def test_fifty_gateways_share_one_pace(build_fleet):
    fleet = build_fleet(gateways=50, upstreams=UPSTREAMS, paces_upstreams=True)
    run_load(fleet, WARM_S, name="warm")
    name = start_upstream(fleet, delay=lambda open_requests: 0.6)
    assert find_most_open(fleet, name, 1.0) <= 3
    fleet.start_delays.clear()
    run_load(fleet, 2.0, name="r")
    assert set(list_paces(fleet, name)) == {None}


def test_a_gateway_that_joins_takes_over_the_pace(fleet):
    name = start_upstream(fleet, delay=lambda open_requests: 0.45)
    run_load(fleet, 2.0)
    gateway = fleet.restart_gateway(3)
    run_load(fleet, 2.0, name="r")
    expected = fleet.gateways[0].directory.upstreams[name].pace.allowed
    assert gateway.directory.upstreams[name].pace.allowed == expected


def test_a_fleet_that_starts_together_is_not_throttled(build_fleet):
    fleet = build_fleet(gateways=8, upstreams=4, paces_upstreams=True)
    for _ in range(UPSTREAMS - 4):
        run_load(fleet, 0.2, rate=50.0, name=f"s{fleet.started_count}-")
        name = start_upstream(fleet)
        run_load(fleet, 0.05, name=f"t{fleet.started_count}-")
        assert set(list_paces(fleet, name)) == {None}


def test_upstreams_that_return_together_are_not_throttled(fleet):
    for name in list(fleet.upstreams)[:-2]:
        fleet.end_upstream(name)
    requests = run_load(fleet, 5.0, rate=25.0)
    fleet.advance(3.0)
    placement = fleet.gateways[0].placement
    assert placement.paces.find_allowed("m") == {}
    assert sum(request.is_served() for request in requests) >= 0.9 * len(
        requests
    )


def test_a_paced_upstream_serves_when_all_others_leave(fleet):
    name = start_upstream(fleet, delay=lambda open_requests: 0.25)
    fleet.advance(3.0)
    for gateway in fleet.gateways:
        list_entries(fleet, gateway, leaving=set(fleet.upstreams) - {name})
    requests = run_load(fleet, 0.5, rate=10.0)
    fleet.advance(3.0)
    assert all(request.is_served() for request in requests)


def list_entries(fleet, gateway, *, leaving=()):
    """Tell a gateway which upstreams there are, and which of them leave."""
    entries = {
        name: fleet.build_listed(name, port)
        for name, port in fleet.upstreams.items()
    }
    for name in leaving:
        entries[name].is_ready = False
    gateway.directory.update(entries)


def test_an_upstream_that_was_emptied_is_paced(fleet):
    gateway = fleet.gateways[0]
    list_entries(fleet, gateway, leaving={"u1"})
    list_entries(fleet, gateway)
    upstream = gateway.directory.upstreams["u1"]
    assert gateway.placement.paces.find_allowed("m") == {upstream: 1}


def test_an_upstream_that_was_set_aside_is_not_flooded(fleet):
    name = next(iter(fleet.upstreams))
    fleet.faults[name] = lambda connection: connection.answer(500, body=b"")
    run_load(fleet, 3.0)
    fleet.faults.clear()
    fleet.start_delays[name] = lambda open_requests: 0.6
    assert find_most_open(fleet, name, 4.0, tag="r") <= 2


def test_an_upstream_that_was_unreachable_is_paced(fleet):
    gateway = fleet.gateways[0]
    upstream = gateway.directory.upstreams["u1"]
    fleet.advance(3.0)
    gateway.placement.note_failure(
        upstream,
        UpstreamUnreachableError("connection refused"),
        waited_since=fleet.reactor.seconds(),
    )
    assert gateway.placement.paces.find_allowed("m") == {upstream: 1}


# Failure: the link of one gateway is lost, and the upstream answers others.
def test_an_upstream_that_answers_others_is_not_paced(fleet):
    gateway = fleet.gateways[0]
    upstream = gateway.directory.upstreams["u1"]
    fleet.advance(3.0)
    upstream.link.note_answer_elsewhere(now=fleet.reactor.seconds())
    gateway.placement.note_failure(
        upstream,
        UpstreamUnreachableError("connection refused"),
        waited_since=fleet.reactor.seconds(),
    )
    assert gateway.placement.paces.find_allowed("m") == {}


# Failure: a gateway does not reach another region, whose answers it does not
# hear of at once.
def test_an_upstream_of_another_region_is_not_paced_for_a_failure(fleet):
    gateway = fleet.gateways[0]
    upstream = gateway.directory.upstreams["u1"]
    upstream.region = hash_parts("s")
    fleet.advance(3.0)
    gateway.placement.note_failure(
        upstream,
        UpstreamUnreachableError("connection refused"),
        waited_since=fleet.reactor.seconds(),
    )
    assert gateway.placement.paces.find_allowed("m") == {}


# Failure: one gateway has begun a pace by itself, and hears of no other.
def test_a_pace_ends_when_peers_serve_without_one(fleet):
    gateway = fleet.gateways[0]
    upstream = gateway.directory.upstreams["u1"]
    upstream.pace.interrupt(now=fleet.reactor.seconds())
    assert gateway.placement.paces.find_allowed("m") == {upstream: 1}
    load = UpstreamLoad(
        upstream=upstream.entry.key, online=5, batch=0, reported=(5, 0)
    )
    gateway.placement.paces.apply_report(upstream, load)
    assert gateway.placement.paces.find_allowed("m") == {}


def test_batch_items_keep_to_the_pace(fleet):
    gateway = fleet.gateways[0]
    fleet.advance(3.0)
    for upstream in gateway.directory.upstreams.values():
        upstream.online = 8
    paced = gateway.directory.upstreams["u1"]
    paced.online = 0
    paced.pace.begin(now=fleet.reactor.seconds())
    choose = functools.partial(
        gateway.batch_placement.choose,
        "m",
        key="i1",
        is_urgent=True,
        find_rank=lambda upstream: (0, 1),
    )
    assert choose() is paced
    paced.online = 1
    assert choose() is None


def test_no_upstream_is_paced_unless_the_settings_say_so(build_fleet):
    fleet = build_fleet(gateways=8, upstreams=UPSTREAMS)
    run_load(fleet, WARM_S, name="warm")
    name = start_upstream(fleet, delay=lambda open_requests: 0.6)
    assert find_most_open(fleet, name, 1.0) > 4
    assert set(list_paces(fleet, name)) == {None}
