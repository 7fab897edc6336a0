"""Tests with upstreams that name the rate of requests that they accept."""

import types

import pytest

# Time from an upstream's first answer with its limit from which the limit
# holds, and the window, factor and surplus within which it holds.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SURPLUS = 5
LIMIT = 2.0


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(gateways=7)
    fleet.rate_limits.update({f"u{n}": LIMIT for n in range(1, 5)})
    return fleet


def run_load(fleet, seconds, *, rate=40.0, name="q"):
    """Send requests at a steady rate and return them."""
    requests = []
    for number in range(round(seconds * rate)):
        requests.append(fleet.request(f"{name}{number}"))
        fleet.advance(1.0 / rate)
    return requests


def find_busiest_window(fleet, upstream, *, after):
    """Return the most requests that an upstream got in some window."""
    times = [
        send.time
        for send in fleet.sent
        if send.upstream == upstream and send.time > after
    ]
    return max(
        (
            sum(start <= time < start + WINDOW_S for time in times)
            for start in times
        ),
        default=0,
    )


def list_exceeded(fleet, *, after):
    """Return the busiest windows of the upstreams above their limits."""
    found = {}
    for name, limit in fleet.rate_limits.items():
        busiest = find_busiest_window(fleet, name, after=after)
        if busiest > TOLERANCE * limit * WINDOW_S + SURPLUS:
            found[name] = busiest
    return found


def test_a_limit_holds_over_all_gateways(fleet, reactor):
    started = reactor.seconds()
    run_load(fleet, 12.0)
    assert list_exceeded(fleet, after=started + CONTACT_S) == {}


def test_a_limit_is_used(fleet, reactor):
    run_load(fleet, 12.0)
    sent = [send for send in fleet.sent if send.time > reactor.seconds() - 8]
    for name, limit in fleet.rate_limits.items():
        count = sum(send.upstream == name for send in sent)
        assert count > 0.6 * limit * 8


def test_requests_above_the_limits_are_served_by_the_others(fleet):
    requests = run_load(fleet, 8.0, rate=20.0)
    fleet.advance(2.0)
    served = sum(request.status == 200 for request in requests)
    assert served == len(requests)


def test_a_limit_below_one_request_a_second_holds(fleet, reactor):
    fleet.rate_limits.update({name: 0.3 for name in fleet.rate_limits})
    started = reactor.seconds()
    run_load(fleet, 14.0)
    assert list_exceeded(fleet, after=started + CONTACT_S) == {}


def test_an_upstream_with_a_limit_of_zero_gets_nothing(fleet, reactor):
    fleet.rate_limits.update({name: 0.0 for name in fleet.rate_limits})
    run_load(fleet, 2.0)
    started = reactor.seconds()
    run_load(fleet, 5.0)
    assert not any(
        send.upstream in fleet.rate_limits and send.time > started
        for send in fleet.sent
    )


def test_more_is_sent_once_a_limit_has_ended(fleet, reactor):
    run_load(fleet, 6.0)
    fleet.rate_limits.clear()
    run_load(fleet, 2.0)
    started = reactor.seconds()
    run_load(fleet, 4.0)
    for name in ("u1", "u2", "u3", "u4"):
        assert find_busiest_window(fleet, name, after=started) > 17
    assert all(
        upstream.rate_limit.per_second is None
        for gateway in fleet.gateways
        for upstream in gateway.directory.upstreams.values()
    )


def test_a_limit_holds_while_gateways_restart(fleet, reactor):
    started = reactor.seconds()
    for number in range(6):
        run_load(fleet, 1.5, name=f"r{number}")
        fleet.restart_gateway(number)
    run_load(fleet, 3.0)
    assert list_exceeded(fleet, after=started + CONTACT_S) == {}


def test_a_limit_holds_when_datagrams_are_lost(fleet, reactor):
    fleet.lose_datagrams()
    started = reactor.seconds()
    run_load(fleet, 12.0)
    assert list_exceeded(fleet, after=started + CONTACT_S) == {}


def test_a_gateway_that_shuts_down_leaves_its_share_to_others(fleet, reactor):
    run_load(fleet, 4.0)
    leaving = fleet.gateways[:3]
    for gateway in leaving:
        gateway.drain()
    started = reactor.seconds()
    run_load(fleet, 8.0)
    assert list_exceeded(fleet, after=started) == {}
    for name, limit in fleet.rate_limits.items():
        sends = [
            send
            for send in fleet.sent
            if send.upstream == name and send.time > started
        ]
        assert len(sends) > 0.6 * limit * 8
        assert not any(send.gateway in leaving for send in sends)


def test_requests_wait_for_limits_of_all_upstreams(fleet, reactor):
    fleet.rate_limits.update({f"u{n}": LIMIT for n in range(1, 7)})
    run_load(fleet, 3.0)
    started = reactor.seconds()
    requests = run_load(fleet, 8.0, rate=8.0, name="r")
    fleet.advance(5.0)
    served = sum(request.status == 200 for request in requests)
    assert served > 0.8 * len(requests)
    assert list_exceeded(fleet, after=started) == {}


def test_requests_above_the_limits_of_all_upstreams_are_refused(fleet):
    fleet.rate_limits.update({f"u{n}": 0.5 for n in range(1, 7)})
    run_load(fleet, 6.0)
    requests = run_load(fleet, 2.0, name="r")
    refused = [request for request in requests if request.status == 503]
    assert len(refused) > 0.6 * len(requests)
    assert all(request.written == b"not_run" for request in refused)


def test_a_broken_stream_goes_on_though_all_limits_are_used(fleet, reactor):
    for name in ("u5", "u6"):
        fleet.end_upstream(name)
    fleet.advance(0.1)
    requests = [fleet.request(f"q{number}") for number in range(6)]
    fleet.advance(0.3)
    gateways = fleet.gateways
    for gateway in gateways:
        for upstream in gateway.directory.upstreams.values():
            bucket = upstream.rate_limit.bucket
            if bucket is not None:
                bucket.tokens = 0.0
    fleet.break_connections("u1")
    fleet.advance(2.0)
    assert all(request.is_ended for request in requests)


def test_a_new_incarnation_has_no_limit(fleet, reactor, helpers):
    run_load(fleet, 2.0)
    fleet.advance(2.0)
    gateway, *_ = fleet.gateways
    entries = {
        name: helpers.build_entry(name, port=port, started_at_ms=7)
        for name, port in fleet.upstreams.items()
    }
    gateway.directory.update(entries)
    upstream = gateway.directory.upstreams["u1"]
    other = fleet.gateways[1].directory.upstreams["u1"]
    report = other.rate_limit.build_report(now=reactor.seconds())
    reactor.advance(0.5)
    report.age += 0.5
    gateway.placement.rate_limits.apply_report(upstream, report)
    assert upstream.rate_limit.per_second is None


def find_shares(fleet):
    """Return the sums of all gateways' shares by upstream."""
    shares = {}
    for gateway in fleet.gateways:
        for name, upstream in gateway.directory.upstreams.items():
            bucket = upstream.rate_limit.bucket
            if bucket is not None:
                shares[name] = shares.get(name, 0.0) + bucket.rate
    return shares


def test_the_shares_make_up_the_limits_after_each_change(fleet):
    run_load(fleet, 3.0)
    expected = {name: LIMIT for name in ("u1", "u2", "u3", "u4")}
    assert find_shares(fleet) == pytest.approx(expected)
    fleet.restart_gateway(2)
    # The requests in flight end as well.
    fleet.advance(6.0)
    assert find_shares(fleet) == pytest.approx(expected)
    for gateway in fleet.gateways:
        mirror = gateway.upstreams_mirror
        mirror.entries = {
            f"upstreams/{name}": types.SimpleNamespace(key=f"upstreams/{name}")
            for name in fleet.upstreams
            if name != "u1"
        }
        gateway.apply_upstreams(mirror)
    del expected["u1"]
    fleet.advance(0.5)
    assert find_shares(fleet) == pytest.approx(expected)
    # Nothing is in flight that would tell it the limits.
    fleet.restart_gateway(3)
    fleet.advance(1.0)
    assert find_shares(fleet) == pytest.approx(expected)
