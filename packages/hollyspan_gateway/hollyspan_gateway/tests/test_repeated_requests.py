"""Tests with requests that end each upstream whenever they come again."""

import pytest

from hollyspan_standins.memory import MemoryFleet

COMMON = 1
# Time after the third end by a request from which on the gateways know it, and
# the sends of it that are allowed later.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
STEP_S = 0.1
FATAL_BODIES = ("f0", "f1", "f2")


@pytest.fixture
def fleet(reactor, build_gateway):
    fleet = MemoryFleet(
        reactor=reactor,
        build_gateway=build_gateway,
        upstreams=10,
        options={"runs_batch": False},
    )
    fleet.fatal_bodies.update(FATAL_BODIES)
    for _ in range(4):
        fleet.add_gateway()
    return fleet


def name_shared_parts(number):
    return (COMMON, 100 + number % 7)


def name_other_parts(number):
    return (COMMON, 1000 + number)


def name_no_parts(number):
    return ()


def run_load(fleet, seconds, *, name_parts, fatal_share=0.4, name="q"):
    """Send sound requests, and repetitions of the fatal ones among them.

    Returns
    -------
    list of MemoryRequest
        The sound requests.
    """
    sound = []
    for number in range(round(seconds / STEP_S)):
        identifier = f"{name}{number}"
        if fleet.random.random() < fatal_share:
            fleet.request(
                identifier,
                name_parts(number),
                body=fleet.random.choice(FATAL_BODIES),
            )
        sound.append(
            fleet.request(f"{identifier}s", name_shared_parts(number))
        )
        fleet.advance(STEP_S)
    return sound


def is_served(request):
    return request.status == 200 and request.is_ended


def count_late_sends(fleet, body):
    """Return the number of sends long after the third end by a request."""
    ends = dict(map(reversed, fleet.ended))
    ended_at = [
        ends[send.upstream]
        for send in fleet.list_sends_of(body)
        if send.has_ended_upstream
    ]
    if len(ended_at) < 3:
        return 0
    return len(fleet.list_sends_of(body, after=ended_at[2] + CONTACT_S))


@pytest.mark.parametrize(
    "name_parts", [name_shared_parts, name_other_parts, name_no_parts]
)
def test_a_request_that_ends_upstreams_is_not_sent_on(fleet, name_parts):
    run_load(fleet, 15.0, name_parts=name_parts)
    late = [count_late_sends(fleet, body) for body in FATAL_BODIES]
    assert max(late) <= MAX_LATE_SENDS


@pytest.mark.parametrize(
    "name_parts", [name_shared_parts, name_other_parts, name_no_parts]
)
def test_requests_beside_a_repeated_one_are_served(fleet, name_parts):
    run_load(fleet, 8.0, name_parts=name_parts)
    sound = run_load(fleet, 6.0, name_parts=name_parts, name="r")
    fleet.advance(2.0)
    served = sum(is_served(request) for request in sound)
    assert served > 0.95 * len(sound)


def test_requests_with_the_only_part_of_a_repeated_one_are_served(fleet):
    # The part is rare, so that no survival speaks for it.
    for number in range(20):
        fleet.request(f"q{number}", (7,), body="f0")
        fleet.advance(0.5)
    request = fleet.request("s", (7,))
    fleet.advance(1.5)
    assert is_served(request)
