"""Tests with gateways that have lost their links to upstreams."""

import collections
import random

import pytest

from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import LinkState

STEP_S = 0.05
# Callers of a machine without links are served as well as others, whose
# service is that of a calm day.
MIN_SERVED_SHARE = 0.95
LOST_STATES = [
    LinkState.HANGS,
    LinkState.RESET,
    LinkState.REFUSES,
    LinkState.KEEPS_OLD,
    LinkState.ACCEPTS_AND_RESETS,
    LinkState.KEEPS_OLD_AND_RESETS,
]
# Connections over these links stay open until a request is written, or longer.
DECEPTIVE_STATES = [LinkState.RESETS_REQUESTS, LinkState.NEVER_READS]
# Of callers at the others, and first tries that may fail, from a while after
# the cut.
MIN_RELATIVE_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 0.02
CONTACT_S = 3.0


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(gateways=5, upstreams=6)
    run_load(fleet, 2.0, name="warm")
    return fleet


def run_load(fleet, seconds, *, gateways=None, name="q"):
    """Send requests to the gateways in turn and return them."""
    gateways = gateways or fleet.gateways
    requests = []
    for number in range(round(seconds / STEP_S)):
        requests.append(
            fleet.request(
                f"{name}{number}", gateway=gateways[number % len(gateways)]
            )
        )
        fleet.advance(STEP_S)
    return requests


def find_served_shares(requests, cut_off):
    """Return the served shares at cut-off gateways and at the others."""
    groups = [
        [each for each in requests if (each.gateway in cut_off) is is_cut_off]
        for is_cut_off in (True, False)
    ]
    return [
        sum(each.is_served() for each in group) / len(group)
        for group in groups
    ]


@pytest.mark.parametrize("state", LOST_STATES)
@pytest.mark.parametrize("count", [1, 4])
def test_callers_of_gateways_without_links_are_served_like_others(
    fleet, state, count
):
    cut_off = fleet.gateways[:count]
    for gateway in cut_off:
        fleet.set_links(gateway, state)
    requests = run_load(fleet, 12.0)
    fleet.advance(6.0)
    for share in find_served_shares(requests, cut_off):
        assert share > MIN_SERVED_SHARE


@pytest.mark.parametrize("state", LOST_STATES)
def test_upstreams_that_most_gateways_cannot_reach_are_used_by_others(
    fleet, state
):
    for gateway in fleet.gateways[:4]:
        fleet.set_links(gateway, state)
    fleet.advance(0.5)
    requests = run_load(fleet, 8.0, gateways=fleet.gateways[4:])
    fleet.advance(3.0)
    assert all(request.is_served() for request in requests)
    sends = [send for send in fleet.sent if send.gateway is fleet.gateways[4]]
    assert {send.upstream for send in sends} == set(fleet.upstreams)


@pytest.mark.parametrize("state", LOST_STATES)
def test_callers_are_served_when_links_to_most_upstreams_are_lost(
    fleet, state
):
    cut_off = fleet.gateways[:3]
    for gateway in cut_off:
        fleet.set_links(gateway, state, ports=(1, 2, 3, 4, 5))
    requests = run_load(fleet, 8.0)
    fleet.advance(6.0)
    for share in find_served_shares(requests, cut_off):
        assert share > MIN_SERVED_SHARE


@pytest.mark.parametrize("phase", range(4))
def test_streams_do_not_wait_for_idle_connections_of_lost_links(fleet, phase):
    run_load(fleet, (phase + 1) * 0.15, name="p")
    cut_off = fleet.gateways[:3]
    for gateway in cut_off:
        fleet.set_links(gateway, LinkState.HANGS, ports=(1, 2, 3, 4, 5))
    requests = run_load(fleet, 8.0, name=f"q{phase}-")
    fleet.advance(6.0)
    for share in find_served_shares(requests, cut_off):
        assert share > MIN_SERVED_SHARE


@pytest.mark.parametrize("state", LOST_STATES)
def test_later_requests_of_a_cut_do_not_wait_for_lost_links(fleet, state):
    gateway = fleet.gateways[0]
    fleet.set_links(gateway, state)
    run_load(fleet, 1.0)
    requests = run_load(fleet, 6.0, gateways=[gateway], name="r")
    fleet.advance(3.0)
    late = [
        each
        for each in requests
        if each.begun_at is None or each.begun_at - each.arrived_at > 0.3
    ]
    assert not late


@pytest.mark.parametrize("state", LOST_STATES)
def test_lost_links_are_no_ends_of_upstreams(fleet, state):
    for _ in range(4):
        for gateway in fleet.gateways[:2]:
            fleet.set_links(gateway, state)
        run_load(fleet, 1.5)
        for gateway in fleet.gateways[:2]:
            fleet.restore_links(gateway)
        run_load(fleet, 1.0)
    for gateway in fleet.gateways:
        now = fleet.reactor.seconds()
        assert not gateway.guard.evidence.list_ends(now=now)
        assert not gateway.guard.blocks


@pytest.mark.parametrize("state", LOST_STATES)
def test_restored_links_are_used_again_without_a_lost_request(fleet, state):
    gateway = fleet.gateways[0]
    fleet.set_links(gateway, state)
    run_load(fleet, 5.0)
    fleet.restore_links(gateway)
    fleet.advance(1.0)
    requests = run_load(fleet, 3.0, gateways=[gateway], name="r")
    fleet.advance(3.0)
    assert all(request.is_served() for request in requests)
    names = {request.identifier.encode() for request in requests}
    direct = [
        send
        for send in fleet.sent
        if send.connection.headers[b"id"] in names and send.gateway is gateway
    ]
    assert len(direct) == len(requests)


def test_callers_are_served_when_cuts_follow_each_other(fleet):
    requests = []
    for number, state in enumerate(LOST_STATES * 2):
        cut_off = [fleet.gateways[(number + i) % 5] for i in range(3)]
        for gateway in cut_off:
            fleet.set_links(gateway, state)
        requests += run_load(fleet, 2.0, name=f"q{number}-")
        for gateway in cut_off:
            fleet.restore_links(gateway)
    fleet.advance(6.0)
    served = sum(request.is_served() for request in requests)
    assert served > MIN_SERVED_SHARE * len(requests)


def test_a_silent_second_of_an_upstream_is_no_lost_link(fleet):
    requests = []
    for name in list(fleet.upstreams)[:3]:
        fleet.silent_upstreams.add(name)
        requests += run_load(fleet, 1.0, name=name)
        fleet.silent_upstreams.clear()
        requests += run_load(fleet, 1.0, name=f"{name}-")
    fleet.advance(6.0)
    assert all(request.is_served() for request in requests)


def test_no_stream_of_a_gateway_that_loses_its_links_is_broken_off(fleet):
    gateway = fleet.gateways[0]
    requests = run_load(fleet, 0.5, gateways=[gateway])
    fleet.set_links(gateway, LinkState.HANGS)
    fleet.advance(4.0)
    assert all(request.is_served() for request in requests)


def test_a_link_that_failed_once_is_used_again(fleet):
    gateway, *others = fleet.gateways
    fleet.set_links(gateway, LinkState.REFUSES, ports=(1,))
    run_load(fleet, 0.5, gateways=[gateway])
    fleet.restore_links(gateway)
    # The others are answered later than the link has failed.
    run_load(fleet, 3.0, gateways=others, name="o")
    assert not gateway.reach.has_trouble
    requests = run_load(fleet, 3.0, gateways=[gateway], name="r")
    assert not any(
        call.getHeader("id") in {request.identifier for request in requests}
        for call in fleet.peer_calls
    )


def test_upstreams_that_end_together_break_off_no_other_stream(fleet):
    gateway = fleet.gateways[0]
    run_load(fleet, 0.5, gateways=[gateway])
    for name in list(fleet.upstreams)[:4]:
        fleet.end_upstream(name)
    open_sends = [
        send
        for send in fleet.sent
        if send.gateway is gateway and send.is_open()
    ]
    assert open_sends
    fleet.advance(1.0)
    assert not any(send.connection.is_cancelled for send in open_sends)
    assert not gateway.reach.is_cut_off


def test_a_failure_at_an_upstream_that_has_gone_does_not_last(fleet):
    gateway = fleet.gateways[0]
    upstream = gateway.directory.upstreams["u1"]
    fleet.restarts = False
    fleet.end_upstream("u1")
    gateway.directory.remove(upstream)
    # The attempt began before the store dropped the entry.
    gateway.reach.note_failure(
        upstream,
        is_unconnected=True,
        waited_since=fleet.reactor.seconds() - 0.3,
    )
    fleet.advance(1.0)
    assert not gateway.reach.has_trouble
    request = fleet.request("q", gateway=gateway)
    fleet.advance(1.5)
    assert request.is_served()
    assert not any(
        call.getHeader("id") == request.identifier for call in fleet.peer_calls
    )


@pytest.mark.parametrize("name", ["u1", "u2"])
def test_a_cut_ends_when_the_upstreams_that_failed_have_gone(fleet, name):
    gateway = fleet.gateways[0]
    upstream = gateway.directory.upstreams[name]
    fleet.advance(2.0)
    gateway.reach.note_failure(
        upstream,
        is_unconnected=True,
        waited_since=fleet.reactor.seconds() - 0.3,
    )
    assert gateway.reach.is_cut_off
    fleet.restarts = False
    fleet.end_upstream(name)
    gateway.directory.remove(upstream)
    fleet.advance(1.0)
    assert not gateway.reach.has_trouble


@pytest.mark.parametrize("seed", range(8))
def test_nothing_lasts_of_links_that_are_lost_in_series(fleet, seed):
    draw = random.Random(seed)
    for number in range(40):
        gateway = draw.choice(fleet.gateways)
        kind = draw.randrange(4)
        if kind == 0:
            ports = draw.choice([None, (1,), (1, 2, 3, 4, 5)])
            fleet.set_links(gateway, draw.choice(LOST_STATES), ports=ports)
        elif kind == 1:
            fleet.restore_links(gateway)
        elif kind == 2 and fleet.upstreams:
            fleet.end_upstream(draw.choice(list(fleet.upstreams)))
            fleet.advance(draw.choice([0.0, 0.1]))
            for each in fleet.gateways:
                fleet.list_upstreams(each)
        else:
            name = draw.choice([*fleet.upstreams, "none"])
            fleet.silent_upstreams ^= {name}
        run_load(fleet, 0.2, name=f"q{number}-")
    fleet.silent_upstreams.clear()
    for gateway in fleet.gateways:
        fleet.restore_links(gateway)
    fleet.advance(8.0)
    for gateway in fleet.gateways:
        assert not gateway.reach.is_cut_off
        assert not gateway.reach.cannot_connect
        assert not gateway.reach.measure_lost_share()
    requests = run_load(fleet, 3.0, name="r")
    fleet.advance(2.0)
    assert not any(each.reach.has_trouble for each in fleet.gateways)
    assert all(request.is_served() for request in requests)
    assert not any(
        call.getHeader("id") in {request.identifier for request in requests}
        for call in fleet.peer_calls
    )


@pytest.mark.parametrize("announces", [True, False])
def test_upstreams_that_leave_after_a_cut_have_not_ended(fleet, announces):
    gateway = fleet.gateways[0]
    run_load(fleet, 0.5, gateways=[gateway])
    fleet.set_links(gateway, LinkState.REFUSES)
    fleet.advance(3.0)
    fleet.restore_links(gateway)
    fleet.advance(1.0 if announces else 10.0)
    for each in fleet.gateways:
        for upstream in list(each.directory.upstreams.values()):
            upstream.has_departed = announces
            each.directory.remove(upstream)
    for each in fleet.gateways:
        now = fleet.reactor.seconds()
        assert not each.guard.evidence.list_ends(now=now)


@pytest.mark.parametrize(
    ("state", "count"),
    [
        (LinkState.RESETS_REQUESTS, 1),
        (LinkState.RESETS_REQUESTS, 4),
        (LinkState.NEVER_READS, 1),
        (LinkState.NEVER_READS, 4),
    ],
)
def test_callers_of_gateways_with_deceptive_links_are_served(
    fleet, state, count
):
    cut_off = fleet.gateways[:count]
    for gateway in cut_off:
        fleet.set_links(gateway, state)
    run_load(fleet, CONTACT_S, name="e")
    requests = run_load(fleet, 9.0)
    fleet.advance(6.0)
    share, others = find_served_shares(requests, cut_off)
    assert share > MIN_RELATIVE_SHARE * others
    failed = sum(not each.is_served() for each in requests)
    assert failed <= MAX_FAILED + MAX_FAILED_SHARE * len(requests)


@pytest.mark.parametrize("state", DECEPTIVE_STATES)
def test_callers_are_served_when_most_links_are_deceptive(fleet, state):
    cut_off = fleet.gateways[:3]
    for gateway in cut_off:
        fleet.set_links(gateway, state, ports=(1, 2, 3, 4, 5))
    requests = run_load(fleet, 8.0)
    fleet.advance(6.0)
    share, others = find_served_shares(requests, cut_off)
    assert share > MIN_RELATIVE_SHARE * others


@pytest.mark.parametrize("state", DECEPTIVE_STATES)
def test_deceptive_links_that_work_again_are_used_again(fleet, state):
    gateway = fleet.gateways[0]
    fleet.set_links(gateway, state)
    run_load(fleet, 8.0)
    fleet.restore_links(gateway)
    requests = run_load(fleet, 6.0, gateways=[gateway], name="s")
    fleet.advance(2.0)
    assert all(request.is_served() for request in requests)
    assert not gateway.reach.has_trouble
    requests = run_load(fleet, 2.0, gateways=[gateway], name="r")
    names = {request.identifier for request in requests}
    assert not any(call.getHeader("id") in names for call in fleet.peer_calls)


@pytest.mark.parametrize("state", DECEPTIVE_STATES)
def test_deceptive_links_are_no_ends_of_upstreams(fleet, state):
    for gateway in fleet.gateways[:2]:
        fleet.set_links(gateway, state)
    run_load(fleet, 6.0)
    for gateway in fleet.gateways:
        now = fleet.reactor.seconds()
        assert not gateway.guard.evidence.list_ends(now=now)
        assert not gateway.guard.blocks


# Failure: the silence of sound upstreams was taken for lost links, and sends
# over these did not count as attempts.
@pytest.mark.parametrize("silent_share", [0.5, 1.0])
def test_requests_run_at_no_more_upstreams_than_their_route_allows(
    fleet, silent_share
):
    requests = []
    for number in range(4):
        requests += run_load(fleet, 0.4, name=f"a{number}-")
        names = sorted(fleet.upstreams)
        fleet.silent_upstreams = set(names[: round(silent_share * len(names))])
        requests += run_load(fleet, 1.3, name=f"b{number}-")
        fleet.silent_upstreams = set()
        requests += run_load(fleet, 1.0, name=f"c{number}-")
    fleet.advance(6.0)
    reached = collections.defaultdict(set)
    for send in fleet.sent:
        reached[send.connection.headers[b"id"]].add(send.upstream)
    assert all(request.is_served() for request in requests)
    most = max(
        len(reached[request.identifier.encode()]) for request in requests
    )
    # While all stand still, nobody has a reason to move.
    assert most == (2 if silent_share < 1 else 1)


def test_open_connections_do_not_end_a_cut_after_a_closed_trial(fleet):
    gateway = fleet.gateways[0]
    fleet.set_links(gateway, LinkState.RESETS_REQUESTS)
    run_load(fleet, 6.0, gateways=[gateway])
    reach = gateway.reach
    assert reach.is_cut_off
    assert not reach.probation.may_restore(now=fleet.reactor.seconds())
    reach.note_open(gateway.directory.upstreams["u1"].entry.address)
    assert reach.is_cut_off


@pytest.mark.parametrize(
    "state", [LinkState.ACCEPTS_AND_RESETS, LinkState.RESETS_REQUESTS]
)
def test_few_requests_that_run_once_meet_links_that_reset(build_fleet, state):
    fleet = build_fleet(
        gateways=5, upstreams=6, routes=[build_route(is_resumable=False)]
    )
    run_load(fleet, 1.0, name="warm")
    gateway = fleet.gateways[0]
    fleet.set_links(gateway, state)
    run_load(fleet, CONTACT_S, gateways=[gateway], name="e")
    requests = run_load(fleet, 9.0, gateways=[gateway])
    fleet.advance(6.0)
    failed = sum(not each.is_served() for each in requests)
    assert failed <= MAX_FAILED_SHARE * len(requests)


def test_a_link_that_resets_requests_is_tried_ever_more_rarely(fleet):
    gateway = fleet.gateways[0]
    run_load(fleet, 1.0, gateways=[gateway], name="w")
    fleet.set_links(gateway, LinkState.RESETS_REQUESTS, ports=(1,))
    start = fleet.reactor.seconds()
    requests = run_load(fleet, 10.0, gateways=[gateway])
    fleet.advance(3.0)
    assert all(request.is_served() for request in requests)
    tries = [
        send
        for send in fleet.sent
        if send.upstream == "u1"
        and send.gateway is gateway
        and send.time > start
    ]
    assert len(tries) <= MAX_FAILED


def test_one_request_at_a_time_is_sent_on_trial(build_fleet):
    fleet = build_fleet(
        gateways=5, upstreams=6, routes=[build_route(is_resumable=False)]
    )
    run_load(fleet, 1.0, name="warm")
    gateway = fleet.gateways[0]
    fleet.set_links(gateway, LinkState.RESETS_REQUESTS)
    run_load(fleet, CONTACT_S, gateways=[gateway], name="e")
    requests = []
    for number in range(60):
        requests += [
            fleet.request(f"b{number}-{each}", gateway=gateway)
            for each in range(4)
        ]
        fleet.advance(0.15)
    fleet.advance(6.0)
    failed = sum(not each.is_served() for each in requests)
    assert failed <= MAX_FAILED_SHARE * len(requests)


# Failure: gateways whose links had healed, and that had no callers, refused
# all requests of a gateway without links.
@pytest.mark.parametrize("seconds", [0.2, 20.0])
@pytest.mark.parametrize("count", [2, 4])
def test_idle_gateways_with_healed_links_run_forwarded_requests(
    build_fleet, count, seconds
):
    fleet = build_fleet(gateways=count, upstreams=4)
    cut_off, *idle = fleet.gateways
    run_load(fleet, 2.0, name="warm")
    for gateway in idle:
        fleet.set_links(gateway, LinkState.ACCEPTS_AND_RESETS)
    run_load(fleet, 2.0, gateways=idle, name="x")
    fleet.advance(CONTACT_S)
    for gateway in idle:
        fleet.restore_links(gateway)
    fleet.advance(seconds)
    fleet.set_links(cut_off, LinkState.HANGS)
    run_load(fleet, CONTACT_S, gateways=[cut_off], name="y")
    requests = run_load(fleet, 8.0, gateways=[cut_off])
    fleet.advance(4.0)
    failed = sum(not request.is_served() for request in requests)
    assert failed <= MAX_FAILED_SHARE * len(requests)


# Failure: a reset that bytes have answered since counts at a later cut.
def test_a_cut_by_silence_after_a_reset_that_bytes_answered_needs_no_trial(
    build_fleet,
):
    fleet = build_fleet(gateways=2, upstreams=3)
    reach = fleet.gateways[0].reach
    first, second, _ = fleet.gateways[0].directory.upstreams.values()
    now = fleet.reactor.seconds()
    reach.note_failure(
        first, is_unconnected=False, waited_since=now, is_closed=True
    )
    reach.note_data(first)
    fleet.advance(2.0)
    for upstream in (first, second):
        reach.note_failure(upstream, is_unconnected=False, waited_since=now)
    assert reach.is_cut_off
    assert not reach.must_hold(first.entry.address)
    fleet.advance(1.0)
    assert not reach.is_cut_off
    assert not reach.probation.is_on_trial


# Failure: a gateway over whose links connections open and nothing comes went
# on sending requests there, and running those of others.
@pytest.mark.parametrize("is_answered", [True, False])
def test_silent_links_need_a_trial_while_upstreams_answer_peers(
    build_fleet, is_answered
):
    fleet = build_fleet(gateways=2, upstreams=4)
    gateway = fleet.gateways[0]
    reach = gateway.reach
    first, second, *_ = gateway.directory.upstreams.values()
    for upstream in (first, second):
        since = fleet.reactor.seconds()
        fleet.advance(0.3)
        reach.note_silence(upstream)
        reach.note_failure(upstream, is_unconnected=False, waited_since=since)
        assert reach.is_cut_off
        if is_answered:
            fleet.advance(0.01)
            reach.note_answer_elsewhere()
        fleet.advance(0.5)
    assert reach.probation.is_on_trial is is_answered
    reach.note_failure(
        second, is_unconnected=False, waited_since=fleet.reactor.seconds()
    )
    assert reach.is_cut_off is is_answered
    assert bool(reach.probation.relapses) is is_answered
    reach.note_data(first)
    assert not reach.is_cut_off
    assert not reach.probation.is_on_trial
