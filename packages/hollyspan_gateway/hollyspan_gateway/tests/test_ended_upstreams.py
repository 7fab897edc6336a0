"""Tests with prompts that end each upstream that begins to answer them."""

import pytest

from hollyspan_standins.memory import MemoryFleet

COMMON = 1
FATAL = 2
# Time after the fifth end from which the gateways know the part, and the sends
# with it that are allowed later.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
STEP_S = 0.1


@pytest.fixture
def fleet(reactor, build_gateway):
    fleet = MemoryFleet(
        reactor=reactor,
        build_gateway=build_gateway,
        options={"runs_batch": False},
    )
    fleet.fatal_parts.add(FATAL)
    for _ in range(4):
        fleet.add_gateway()
    return fleet


def run_load(fleet, seconds, *, fatal_share=0.2, name="q"):
    """Send sound requests, some of them with the fatal part as well.

    Returns
    -------
    (list, list)
        The requests without the fatal part and those with it.
    """
    sound, fatal = [], []
    for number in range(round(seconds / STEP_S)):
        parts = (COMMON, 100 + number % 7)
        identifier = f"{name}{number}"
        if fleet.random.random() < fatal_share:
            fatal.append(fleet.request(identifier, (*parts, FATAL)))
        sound.append(fleet.request(f"{identifier}s", parts))
        fleet.advance(STEP_S)
    return sound, fatal


def find_late_sends(fleet):
    fifth_end, _ = fleet.ended[4]
    return fleet.list_sends(FATAL, after=fifth_end + CONTACT_S)


def test_a_part_that_ends_upstreams_is_not_sent_on(fleet):
    run_load(fleet, 12.0)
    assert len(find_late_sends(fleet)) <= MAX_LATE_SENDS


def test_requests_that_share_other_parts_are_served(fleet):
    run_load(fleet, 8.0)
    sound, _ = run_load(fleet, 6.0, name="r")
    fleet.advance(2.0)
    served = sum(request.is_ended for request in sound)
    assert served > 0.9 * len(sound)
