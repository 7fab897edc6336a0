"""Tests with sound upstreams that fall silent for a second and go on."""

import collections

import pytest

from hollyspan_core.errors import StreamStalledError
from hollyspan_gateway.peers import Peer
from hollyspan_gateway.upstreams.cut_evidence import CutEvidence
from hollyspan_gateway.upstreams.cut_evidence import SHARED_WALK_S
from hollyspan_gateway.upstreams.directory import EXPIRY_GRACE_S
from hollyspan_standins.memory import LinkState

STEP_S = 0.05
# Lengths of the silences that follow each other.
SILENCES_S = (1.0, 1.3, 1.8, 1.0, 1.3, 1.8)
# Time between two silences.
CALM_S = 1.5
# Longest time of a request, see `build_route`.
TIMEOUT_S = 5.0


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(gateways=7, upstreams=9)
    fleet.opens_in_silence = False
    run_load(fleet, 2.0, name="warm")
    return fleet


def run_load(fleet, seconds, *, name, gateways=None):
    """Send a stream to one gateway after the other; return the requests."""
    gateways = gateways or fleet.gateways
    requests = []
    for number in range(round(seconds / STEP_S)):
        requests.append(
            fleet.request(
                f"{name}-{number}", gateway=gateways[number % len(gateways)]
            )
        )
        fleet.advance(STEP_S)
    return requests


def run_silences(fleet, *, share, rest_after=None):
    """Let upstreams fall silent again and again; return the requests."""
    requests = []
    names = sorted(fleet.upstreams)
    for number, seconds in enumerate(SILENCES_S):
        shift = number % len(names)
        turned = names[shift:] + names[:shift]
        fleet.silent_upstreams = set(turned[: round(share * len(names))])
        if rest_after is not None:
            requests += run_load(fleet, rest_after, name=f"r{number}")
            fleet.silent_upstreams = set(names)
        requests += run_load(fleet, seconds, name=f"s{number}")
        fleet.silent_upstreams = set()
        requests += run_load(fleet, CALM_S, name=f"c{number}")
    fleet.advance(TIMEOUT_S + 1.0)
    return requests


def set_store(fleet, wire, *, is_away):
    """Let the store be away from all gateways, or come back."""
    wire.is_down = is_away
    for gateway in fleet.gateways:
        gateway.upstreams_mirror.is_connected = not is_away


def let_entries_lapse(fleet):
    """Let the store list half of the upstreams only, as after an outage."""
    now = fleet.reactor.seconds()
    names = sorted(fleet.upstreams)[::2]
    for gateway in fleet.gateways:
        gateway.directory.update(
            {
                name: fleet.build_listed(name, fleet.upstreams[name])
                for name in names
            },
            expiry_grace_until=now + EXPIRY_GRACE_S,
        )


def return_elsewhere(fleet, request, gateway):
    """Let a client leave and go on at another gateway."""
    last = request.written.rpartition(b"id: ")[2].split()[0]
    request.is_open = False
    request.on_disconnect()
    return fleet.request(
        f"{request.identifier}-again",
        gateway=gateway,
        resume=int(last),
        resumes=request.identifier,
    )


def list_reached(fleet, requests):
    """Return the upstreams that each request has reached, by identifier."""
    reached = collections.defaultdict(set)
    for send in fleet.sent:
        reached[send.connection.headers[b"id"].decode()].add(send.upstream)
    return {each.identifier: reached[each.identifier] for each in requests}


# Failure: attempts were broken off because links seemed to be lost, although
# no one could go on with the request.
@pytest.mark.parametrize(
    "opens_in_silence", [False, True], ids=["full", "open"]
)
@pytest.mark.parametrize(
    ("share", "rest_after"),
    [(1.0, None), (2 / 3, None), (2 / 3, 0.4), (1 / 3, None)],
    ids=["all", "most", "most_then_all", "some"],
)
def test_streams_outlast_the_silence_of_their_upstreams(
    fleet, opens_in_silence, share, rest_after
):
    fleet.opens_in_silence = opens_in_silence
    requests = run_silences(fleet, share=share, rest_after=rest_after)
    broken = [
        each.identifier
        for each in requests
        if each.status not in (200, 503) or each.is_aborted
    ]
    assert broken == []
    reached = list_reached(fleet, requests)
    assert max(len(upstreams) for upstreams in reached.values()) <= 2


# Beside an outage of the store gateways stop, and clients go on to send over
# their kept connections or come back at other gateways.
@pytest.mark.parametrize("begins_before", [True, False])
@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
def test_streams_outlast_a_silence_beside_an_outage_of_the_store(
    build_fleet, wire, versions, begins_before
):
    fleet = build_fleet(gateways=5, upstreams=6, versions=versions)
    fleet.opens_in_silence = False
    names = sorted(fleet.upstreams)
    requests = run_load(fleet, 2.0, name="warm")
    left = []
    for number, share in enumerate((1.0, 2 / 3, 1.0)):
        stopped, *others = fleet.gateways
        if begins_before:
            set_store(fleet, wire, is_away=True)
        requests += run_load(fleet, 0.3, name=f"b{number}")
        fleet.silent_upstreams = set(names[: round(share * len(names))])
        requests += run_load(fleet, 0.4, name=f"s{number}")
        set_store(fleet, wire, is_away=True)
        stopped.drain()
        requests += run_load(fleet, 0.2, name=f"k{number}")
        fleet.silent_upstreams = set(names)
        began = [each for each in requests if each.is_open and each.written]
        for request in began[:3]:
            left.append(request)
            again = return_elsewhere(fleet, request, others[number])
            requests.append(again)
        requests += run_load(fleet, 0.9, name=f"e{number}", gateways=others)
        fleet.silent_upstreams = set()
        let_entries_lapse(fleet)
        requests += run_load(fleet, 1.0, name=f"c{number}", gateways=others)
        set_store(fleet, wire, is_away=False)
        for gateway in fleet.gateways:
            fleet.list_upstreams(gateway)
        requests += run_load(fleet, 4.0, name=f"l{number}", gateways=others)
        fleet.restart_gateway(0)
    fleet.advance(TIMEOUT_S + 1.0)
    assert len(left) > 3
    kept = [each for each in requests if each not in left]
    broken = [
        each.identifier
        for each in kept
        if each.status not in (200, 503) or each.is_aborted
    ]
    assert broken == []
    assert sum(each.is_served() for each in kept) > 0.9 * len(kept)
    reached = list_reached(fleet, requests)
    assert max(len(upstreams) for upstreams in reached.values()) <= 2
    for each in requests:
        assert not (
            b"data: v1" in each.written and b"data: v2" in each.written
        )


# Failure: gateways took the silence that all of them met for lost links.
@pytest.mark.parametrize("share", [1.0, 2 / 3])
def test_no_gateway_is_sure_of_lost_links_in_a_silence(
    fleet, share, monkeypatch
):
    confirmed = []
    for gateway in fleet.gateways:
        reach = gateway.reach
        monkeypatch.setattr(
            gateway,
            "announce_reach",
            lambda reach=reach: confirmed.append(reach.is_confirmed),
        )
    requests = run_silences(fleet, share=share)
    assert not any(confirmed)
    calm = [each for each in requests if each.identifier.startswith("c")]
    assert all(each.is_served() for each in calm)


# Failure: each waiting attempt opened a connection each 0.05 s.
def test_few_connections_are_opened_in_a_silence(fleet):
    fleet.opens_in_silence = True
    fleet.silent_upstreams = set(fleet.upstreams)
    before = sum(gateway.pool.opened for gateway in fleet.gateways)
    run_load(fleet, 1.3, name="s")
    opened = sum(gateway.pool.opened for gateway in fleet.gateways) - before
    assert opened <= len(fleet.gateways) * len(fleet.upstreams)


# Failure: a request that no other upstream took at once was ended, although
# its client waited for the rest.
@pytest.mark.parametrize("begins", [True, False])
def test_a_request_goes_on_when_others_refuse_for_a_moment(
    build_fleet, begins
):
    fleet = build_fleet(gateways=1, upstreams=3)
    fleet.advance(1.0)
    (gateway,) = fleet.gateways
    request = fleet.request("q", gateway=gateway)
    fleet.advance(0.3 if begins else 0.03)
    fleet.set_links(gateway, LinkState.KEEPS_OLD)
    (exposure,) = gateway.guard.exposures
    exposure.abort(StreamStalledError("no data received"))
    fleet.advance(0.8)
    fleet.restore_links(gateway)
    fleet.advance(4.0)
    assert request.is_served()
    assert len(list_reached(fleet, [request])["q"]) == 2


# Failure: each waiting attempt walked all upstreams and all gateways each
# 0.05 s.
def test_attempts_that_wait_share_their_walks(fleet, monkeypatch):
    fleet.opens_in_silence = True
    gateway = fleet.gateways[0]
    walks = collections.Counter()
    list_expected = CutEvidence.list_expected

    def count_walk(evidence):
        walks[evidence] += 1
        return list_expected(evidence)

    monkeypatch.setattr(CutEvidence, "list_expected", count_walk)
    fleet.silent_upstreams = set(fleet.upstreams)
    # All wait from now on.
    requests = [
        fleet.request(f"s-{number}", gateway=gateway) for number in range(30)
    ]
    fleet.advance(1.0)
    assert not any(each.is_ended for each in requests)
    assert 0 < max(walks.values()) <= 1.0 / SHARED_WALK_S


# Failure: whether another gateway can run a request was found out by a walk
# over all of them.
def test_one_gateway_that_can_run_a_request_is_enough(fleet, monkeypatch):
    checked = []
    is_live = Peer.is_live

    def count_check(peer, now):
        checked.append(peer)
        return is_live(peer, now)

    monkeypatch.setattr(Peer, "is_live", count_check)
    assert fleet.gateways[0].forwarding.is_possible()
    assert len(checked) == 1
