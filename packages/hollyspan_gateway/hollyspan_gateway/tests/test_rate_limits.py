"""Tests with upstreams that name the rate of requests that they accept."""

import pytest

from hollyspan_standins.memory import MemoryFleet

# Time from an upstream's first answer with its limit from which the limit
# holds, and the window, factor and surplus within which it holds.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SURPLUS = 5
LIMIT = 2.0


@pytest.fixture
def fleet(reactor, build_gateway):
    fleet = MemoryFleet(
        reactor=reactor,
        build_gateway=build_gateway,
        options={"runs_batch": False},
    )
    for _ in range(7):
        fleet.add_gateway()
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
