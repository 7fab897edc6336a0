"""Tests of what holds for requests that another gateway runs."""

import pytest

from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.daemon import answer_internal
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import LinkState
from hollyspan_standins.memory import PeerCall

ONCE = build_route(kind=RouteKind.STREAM, is_resumable=False)


def cut_off(fleet, *gateways, state=LinkState.RESET):
    """Cut gateways off and let them notice it."""
    for number, gateway in enumerate(gateways):
        fleet.set_links(gateway, state)
        for each in range(2):
            fleet.request(f"cut{number}-{each}", gateway=gateway)
    fleet.advance(3.0)
    assert all(gateway.reach.is_confirmed for gateway in gateways)


@pytest.fixture
def fleet(build_fleet):
    """Four gateways, the first of which is cut off."""
    fleet = build_fleet(gateways=4, upstreams=6)
    fleet.advance(1.0)
    cut_off(fleet, fleet.gateways[0])
    return fleet


def find_sends(fleet, request):
    name = request.identifier.encode()
    return [
        send for send in fleet.sent if send.connection.headers[b"id"] == name
    ]


def find_calls(fleet, request):
    return [
        call
        for call in fleet.peer_calls
        if call.getHeader("id") == request.identifier
    ]


def send(fleet, name="q", **options):
    return fleet.request(name, gateway=fleet.gateways[0], **options)


def test_a_forwarded_request_keeps_its_identifier_and_deadline(fleet):
    request = send(fleet, parts=(7,), body="b")
    fleet.advance(0.5)
    (sent,) = find_sends(fleet, request)
    assert sent.gateway in fleet.gateways[1:]
    headers = sent.connection.headers
    assert 4.9 < float(headers[b"deadline"]) <= 5.0
    assert sent.parts == (7,)
    fleet.advance(1.0)
    assert request.is_served()


def test_a_client_that_leaves_ends_the_work_at_the_upstream(fleet):
    request = send(fleet)
    fleet.advance(0.3)
    (sent,) = find_sends(fleet, request)
    assert sent.is_open()
    request.is_open = False
    request.on_disconnect()
    fleet.advance(0.02)
    assert not sent.is_open()
    assert not any(
        gateway.forwarding.running or gateway.forwarding.in_flight
        for gateway in fleet.gateways
    )


def test_a_request_is_forwarded_once_at_most(fleet):
    # Two cut-off gateways of which the first one has not heard of the other.
    for gateway in fleet.gateways[1:3]:
        fleet.set_links(gateway, LinkState.HANGS)
        gateway.reach.begin_cut(is_conclusive=False)
    requests = [send(fleet, f"q{number}") for number in range(12)]
    fleet.advance(2.0)
    assert all(request.is_served() for request in requests)
    for request in requests:
        senders = {call.sender for call in find_calls(fleet, request)}
        assert senders == {find_calls(fleet, request)[0].sender}
        (sent,) = find_sends(fleet, request)
        assert sent.gateway is fleet.gateways[3]


def test_requests_are_refused_at_once_when_no_gateway_has_links(fleet):
    cut_off(fleet, *fleet.gateways[1:])
    requests = [send(fleet, f"q{number}") for number in range(5)]
    fleet.advance(1.5)
    for request in requests:
        assert request.status == 503 and request.written == b"not_run"
        assert not find_calls(fleet, request)


def test_a_request_whose_outcome_is_unknown_is_not_started_again(
    build_fleet,
):
    fleet = build_fleet(gateways=4, upstreams=6, routes=[ONCE])
    fleet.advance(1.0)
    requests = [send(fleet, f"q{number}") for number in range(6)]
    fleet.advance(0.02)
    fleet.set_links(fleet.gateways[0], LinkState.RESET)
    fleet.advance(3.0)
    for request in requests:
        assert len(find_sends(fleet, request)) == 1
        assert request.written == b"unknown"


def test_a_request_that_was_not_run_is_forwarded_though_it_may_run_once(
    build_fleet,
):
    fleet = build_fleet(gateways=4, upstreams=6, routes=[ONCE])
    fleet.advance(1.0)
    cut_off(fleet, fleet.gateways[0], state=LinkState.REFUSES)
    request = send(fleet)
    fleet.advance(2.0)
    assert request.is_served()
    assert len(find_sends(fleet, request)) == 1


def test_a_stream_goes_on_when_the_gateway_that_runs_it_is_killed(fleet):
    request = send(fleet)
    fleet.advance(0.4)
    (sent,) = find_sends(fleet, request)
    fleet.kill_gateway(fleet.gateways.index(sent.gateway))
    fleet.advance(3.0)
    assert request.is_served()
    assert [each.last_event for each in find_sends(fleet, request)][-1] == 16
    numbers = [
        int(line.split()[1])
        for line in request.written.split(b"\n")
        if line.startswith(b"id:")
    ]
    assert numbers == list(range(1, 17))


def test_a_stream_goes_on_at_its_version_over_another_gateway(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=8, versions=("v1", "v2"))
    fleet.advance(1.0)
    requests = [send(fleet, f"q{number}") for number in range(8)]
    fleet.advance(0.3)
    fleet.set_links(fleet.gateways[0], LinkState.HANGS)
    fleet.advance(4.0)
    for request in requests:
        assert request.is_served()
        assert (b"data: v1" in request.written) is not (
            b"data: v2" in request.written
        )
        assert len(find_calls(fleet, request)) == 1


def test_a_stream_that_moves_twice_keeps_its_version(build_fleet):
    fleet = build_fleet(
        gateways=5,
        upstreams=8,
        versions=("v1", "v2"),
        routes=[build_route(max_attempts=4)],
    )
    fleet.advance(1.0)
    cut_off(fleet, fleet.gateways[0])
    requests = [send(fleet, f"r{number}") for number in range(8)]
    fleet.advance(0.3)
    busy = {
        fleet.gateways.index(find_sends(fleet, each)[0].gateway)
        for each in requests
    }
    for number in sorted(busy)[:2]:
        fleet.kill_gateway(number)
    fleet.advance(4.0)
    for request in requests:
        assert request.is_served()
        assert (b"data: v1" in request.written) is not (
            b"data: v2" in request.written
        )


def test_a_resumed_stream_is_looked_up_by_the_gateway_that_runs_it(
    build_fleet,
):
    fleet = build_fleet(gateways=4, upstreams=8, versions=("v1", "v2"))
    fleet.advance(1.0)
    first = fleet.request("first", gateway=fleet.gateways[2])
    fleet.advance(0.3)
    first.is_open = False
    first.on_disconnect()
    cut_off(fleet, fleet.gateways[0])
    begun = b"data: v1" if b"data: v1" in first.written else b"data: v2"
    request = send(fleet, resume=3, resumes="first")
    fleet.advance(2.0)
    assert request.is_served()
    assert request.written.startswith(b"id: 4\n" + begun)


def test_a_gateway_that_shuts_down_takes_no_forwarded_request(fleet):
    fleet.gateways[1].drain()
    requests = [send(fleet, f"q{number}") for number in range(8)]
    fleet.advance(2.0)
    assert all(request.is_served() for request in requests)
    for request in requests:
        (sent,) = find_sends(fleet, request)
        assert sent.gateway is not fleet.gateways[1]


def test_a_gateway_that_has_shut_down_unheard_is_passed_over(fleet):
    fleet.gateways[1].draining_since = fleet.reactor.seconds()
    requests = [send(fleet, f"q{number}") for number in range(12)]
    fleet.advance(2.0)
    assert all(request.is_served() for request in requests)


def test_a_refusal_by_a_full_gateway_is_passed_on_with_its_time(fleet):
    for gateway in fleet.gateways[1:]:
        for upstream in gateway.directory.upstreams.values():
            upstream.set_peer_load("p", (80, 0))
    request = send(fleet)
    fleet.advance(1.0)
    assert request.status == 503 and request.written == b"not_run"
    assert len(find_calls(fleet, request)) == 1


def test_a_blocked_request_is_refused_without_a_hop(fleet):
    for gateway in fleet.gateways:
        gateway.guard.block_list.add(
            frozenset({7}), at=fleet.reactor.seconds()
        )
    request = send(fleet, parts=(7,))
    fleet.advance(0.5)
    assert request.status == 503 and not find_calls(fleet, request)


def test_requests_of_strangers_are_not_run(fleet):
    call = send_to_peer(fleet, "seen", sender="192.0.2.1")
    assert call.status == 403
    running = fleet.gateways[1].forwarding.running
    assert running == sum(
        each.target is fleet.gateways[1] and each.is_open
        for each in fleet.peer_calls
    )


def test_malformed_forwarded_requests_are_refused(fleet):
    for target in (b"/requests/", b"/requests/x/1/s", b"/requests/0/0/s/x"):
        call = send_to_peer(fleet, target.decode(), target=target)
        assert call.status == 400


def send_to_peer(
    fleet,
    name,
    *,
    sender="10.1.0.1",
    target=b"/requests/0/2/s/x",
    ran_at=b"0",
):
    """Let the second gateway answer a call; return the call."""
    forwarded = fleet.request(name, gateway=fleet.gateways[0])
    fleet.advance(0.1)
    (call,) = find_calls(fleet, forwarded)
    copy = PeerCall(
        reactor=fleet.reactor,
        connection=call.connection,
        sender=sender,
        target=fleet.gateways[1],
    )
    copy.uri = target
    copy.arrived_at = fleet.reactor.seconds()
    if ran_at is None:
        copy.requestHeaders.removeHeader("hollyspan-ran-at")
    else:
        copy.requestHeaders.setRawHeaders("hollyspan-ran-at", [ran_at])
    answer_internal(fleet.gateways[1], copy)
    return copy


def test_forwarded_requests_spread_over_the_gateways(build_fleet):
    fleet = build_fleet(gateways=9, upstreams=12)
    fleet.advance(1.0)
    cut_off(fleet, *fleet.gateways[:3])
    requests = [
        fleet.request(f"q{number}", gateway=fleet.gateways[number % 3])
        for number in range(48)
    ]
    fleet.advance(0.3)
    running = [each.forwarding.running for each in fleet.gateways[3:]]
    assert sum(running) == 48
    assert max(running) <= 2 * 48 / 6
    fleet.advance(6.0)
    assert all(request.is_served() for request in requests)


def test_rate_limits_are_kept_and_used_while_gateways_are_cut_off(
    build_fleet,
):
    fleet = build_fleet(gateways=4, upstreams=2)
    fleet.rate_limits = {name: 4.0 for name in fleet.upstreams}
    fleet.advance(1.0)
    for number in range(8):
        fleet.request(f"w{number}")
        fleet.advance(0.3)
    cut_off(fleet, *fleet.gateways[:2])
    sent_before = len(fleet.sent)
    for number in range(80):
        fleet.request(f"q{number}", gateway=fleet.gateways[number % 4])
        fleet.advance(0.1)
    sent = len(fleet.sent) - sent_before
    # Eight a second for eight seconds; half again and five more at most.
    assert 0.7 * 64 < sent < 1.5 * 64 + 5


def test_an_upstream_that_announces_its_shutdown_is_known_over_the_hop(fleet):
    request = send(fleet)
    fleet.advance(0.02)
    (sent,) = find_sends(fleet, request)
    for gateway in fleet.gateways[1:]:
        # Its word does not arrive otherwise.
        gateway.peers.transport = None
    sent.connection.answer(
        200, headers=[(b"leaving", b"1")], is_complete=False
    )
    sent.connection.exchange.on_data(b"id: 1\ndata: v11\n\n")
    fleet.advance(0.02)
    upstream = fleet.gateways[0].directory.upstreams[sent.upstream]
    assert upstream.has_departed


def test_internal_headers_do_not_reach_clients_or_upstreams(
    fleet, monkeypatch
):
    begin = PeerCall.begin

    def begin_of_later_build(call, status, headers):
        begin(call, status, [*headers, (b"hollyspan-later", b"1")])

    monkeypatch.setattr(PeerCall, "begin", begin_of_later_build)
    request = send(fleet)
    fleet.advance(2.0)
    assert request.is_served()
    assert not [
        name for name, _ in request.headers if name.startswith(b"hollyspan")
    ]
    (sent,) = find_sends(fleet, request)
    assert not [
        name
        for name in sent.connection.headers
        if name.startswith(b"hollyspan")
    ]


# Failure: a peer that had used two attempts was counted as one, and the stream
# went on at a third upstream.
def test_attempts_of_a_peer_that_breaks_a_stream_off_count(fleet):
    request = send(fleet)
    fleet.advance(0.03)
    (first,) = find_sends(fleet, request)
    break_off(first)
    fleet.advance(0.3)
    second = find_sends(fleet, request)[1]
    assert second.last_event > 0
    break_off(second)
    fleet.advance(3.0)
    assert request.is_aborted
    assert len(find_sends(fleet, request)) == 2


def break_off(sent):
    """Break the connection to an upstream."""
    sent.is_ended = True
    sent.connection.exchange.on_failure(StreamLostError("connection closed"))


# Failure: with a single other gateway, a stream that broke off there went on
# over the lost links.
def test_a_stream_that_breaks_off_at_the_only_other_gateway_goes_on(
    build_fleet,
):
    fleet = build_fleet(gateways=2, upstreams=6)
    fleet.advance(1.0)
    fleet.set_links(fleet.gateways[0], LinkState.RESETS_REQUESTS)
    for number in range(30):
        send(fleet, f"w{number}")
        fleet.advance(0.1)
    requests = [send(fleet, f"q{number}") for number in range(3)]
    fleet.advance(0.3)
    for request in requests:
        (sent,) = find_sends(fleet, request)
        assert sent.gateway is fleet.gateways[1]
        break_off(sent)
    fleet.advance(3.0)
    assert all(request.is_served() for request in requests)


def find_upstreams(fleet, request):
    return [sent.upstream for sent in find_sends(fleet, request)]


# Failure: a peer spent the last attempt at the upstream that was silent.
def test_a_peer_leaves_out_the_upstreams_that_were_tried(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=2)
    fleet.advance(1.0)
    requests = [send(fleet, f"q{number}") for number in range(8)]
    fleet.advance(0.3)
    fleet.set_links(fleet.gateways[0], LinkState.RESET)
    fleet.advance(4.0)
    for request in requests:
        assert find_calls(fleet, request) and request.is_served()
        assert len(set(find_upstreams(fleet, request))) == 2


# Failure: what a peer had run and broken off was run there again.
@pytest.mark.parametrize("seconds", [0.3, 0.03], ids=["begun", "not_begun"])
def test_no_gateway_goes_back_to_an_upstream_of_another_one(
    build_fleet, seconds
):
    routes = [build_route(max_attempts=3)]
    fleet = build_fleet(gateways=5, upstreams=3, routes=routes)
    fleet.advance(1.0)
    cut_off(fleet, fleet.gateways[0])
    for number in range(6):
        request = send(fleet, f"q{number}")
        fleet.advance(seconds)
        break_off(find_sends(fleet, request)[0])
        fleet.advance(seconds)
        break_off(find_sends(fleet, request)[1])
        fleet.advance(4.0)
        assert request.is_served()
        assert len(set(find_upstreams(fleet, request))) == 3


def test_the_only_upstream_is_asked_again_over_another_gateway(build_fleet):
    fleet = build_fleet(gateways=4, upstreams=1)
    fleet.advance(1.0)
    for gateway in fleet.gateways[1:]:
        fleet.request("other", gateway=gateway)
    request = send(fleet)
    fleet.advance(0.3)
    fleet.set_links(fleet.gateways[0], LinkState.HANGS)
    fleet.advance(4.0)
    assert request.is_served()
    assert find_upstreams(fleet, request) == ["u1", "u1"]


def test_what_clients_send_as_tried_upstreams_is_passed_over(
    fleet, monkeypatch
):
    dialect = fleet.gateways[0].dialect
    encode_headers = dialect.encode_headers
    forged = (b"Hollyspan-Ran-At", b"1,2")
    monkeypatch.setattr(
        dialect,
        "encode_headers",
        lambda *args, **options: [*encode_headers(*args, **options), forged],
    )
    request = send(fleet)
    fleet.advance(0.1)
    (call,) = find_calls(fleet, request)
    headers = call.requestHeaders
    assert not headers.hasHeader("hollyspan-ran-at")
    assert call.connection.headers[b"hollyspan-ran-at"] == b"0"


def test_malformed_keys_of_upstreams_are_refused(fleet):
    for value in (b"x", b",".join([b"1"] * 9)):
        call = send_to_peer(fleet, value.decode(), ran_at=value)
        assert call.status == 502


# Failure: what an older gateway did not ask for would reach its client.
def test_a_gateway_is_told_only_what_it_asks_for(fleet):
    call = send_to_peer(fleet, "q", ran_at=None)
    heads = []
    call.deliver = lambda function, *arguments: heads.append(arguments)
    fleet.advance(0.3)
    names = {name for name, _ in heads[0][1]}
    assert b"hollyspan-version" in names
    assert not names & {b"hollyspan-ran-at", b"hollyspan-attempts"}
