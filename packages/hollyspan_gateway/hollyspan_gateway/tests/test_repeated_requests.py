"""Tests with requests that end each upstream whenever they come again."""

import pytest

from hollyspan_gateway.clock import wait
from hollyspan_policy.hashing import hash_parts

COMMON, FATAL_PART = 1, 2
# Time after the third end by a request from which on the gateways know it, and
# the sends of it that are allowed later.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
STEP_S = 0.1
FATAL_BODIES = ("f0", "f1", "f2")


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet(upstreams=10)
    fleet.fatal_bodies.update(FATAL_BODIES)
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


def note_ambiguous_ends(fleet, *bodies):
    """Let all gateways know of ends that several requests explain."""
    fingerprints = [hash_parts(body) for body in bodies]
    for gateway in fleet.gateways:
        for number in range(4):
            gateway.guard.apply_end(
                1 + number,
                [(fingerprint,) for fingerprint in fingerprints],
                fingerprints=fingerprints,
                at=fleet.reactor.seconds(),
                is_confirmed=True,
            )
    fleet.advance(0.5)
    assert not any(gateway.guard.blocks for gateway in fleet.gateways)


# Failure: a request that was not told from one beside it was sent to several
# upstreams more when it came again, before anything could be decided.
def test_a_repeated_request_is_not_sent_on_after_it_may_have_ended_upstreams(
    fleet,
):
    note_ambiguous_ends(fleet, "f0", "sound")
    request = fleet.request("b", (COMMON,), body="f0")
    fleet.advance(0.5)
    assert len(fleet.list_sends_of("f0")) == 1
    assert request.written == b"unknown"
    assert all(gateway.guard.blocks for gateway in fleet.gateways)
    sound = fleet.request("s", (COMMON,), body="sound")
    fleet.advance(1.5)
    assert is_served(sound)


def test_a_request_goes_on_after_ends_since_its_arrival(fleet):
    # The third end is confirmed while it is on its way.
    fleet.fatal_bodies.clear()
    gateway = fleet.gateways[0]
    request = fleet.request("b", (COMMON,), body="sound", gateway=gateway)
    fleet.advance(0.02)
    for number in range(4):
        gateway.guard.apply_end(
            1 + number,
            [(hash_parts("sound"),)],
            fingerprints=[hash_parts("sound")],
            at=fleet.reactor.seconds(),
            is_confirmed=True,
        )
    (send,) = fleet.list_sends_of("sound")
    fleet.end_upstream(send.upstream)
    fleet.advance(0.1)
    assert len(fleet.list_sends_of("sound")) == 2
    fleet.advance(1.5)
    assert is_served(request)


def send_repetitions(fleet, count, *, gateways=None):
    """Send one of the fatal requests again and again."""
    for number in range(count):
        gateway = gateways and gateways[number % len(gateways)]
        fleet.request(f"b{number}", (COMMON,), body="f0", gateway=gateway)
        fleet.advance(0.5)


@pytest.fixture
def blocked_fleet(fleet):
    """A fleet that has blocked one of the fatal requests."""
    send_repetitions(fleet, 4)
    fleet.advance(2.5)
    assert all(gateway.guard.blocks for gateway in fleet.gateways)
    return fleet


def convict(fleet, *, gateways=None):
    """Send one of the fatal requests until two trials of it have failed."""
    send_repetitions(fleet, 40, gateways=gateways)
    fleet.advance(2.5)
    # Two by each of two requests, and the two trials.
    assert len(fleet.ended) <= 6


@pytest.fixture
def convicted_fleet(fleet):
    """A fleet in which two trials of a fatal request have failed."""
    convict(fleet)
    assert all(gateway.guard.blocks for gateway in fleet.gateways)
    return fleet


def is_refused_unsent(fleet, gateway, **options):
    """Send the blocked request again; return whether it was refused unsent."""
    sends = len(fleet.sent)
    request = fleet.request("n", body="f0", gateway=gateway, **options)
    return (
        request.status == 503
        and request.written == b"not_run"
        and len(fleet.sent) == sends
    )


def test_a_repetition_is_refused_at_once_whatever_parts_it_names(
    convicted_fleet,
):
    for gateway in convicted_fleet.gateways:
        for parts in ((), (COMMON,), (77, 78)):
            assert is_refused_unsent(convicted_fleet, gateway, parts=parts)
        assert is_refused_unsent(convicted_fleet, gateway, resume=3)


def test_another_request_with_the_same_parts_is_served_at_once(blocked_fleet):
    for gateway in blocked_fleet.gateways:
        request = blocked_fleet.request("n", (COMMON,), gateway=gateway)
        blocked_fleet.advance(1.5)
        assert is_served(request)


def test_a_gateway_without_peers_reads_the_blocked_request(fleet):
    fleet.network.isolate(1003)
    fleet.advance(2.0)
    *others, isolated = fleet.gateways
    convict(fleet, gateways=others)
    assert is_refused_unsent(fleet, isolated)


def test_blocked_requests_outlast_a_restart_of_all_gateways(convicted_fleet):
    convicted_fleet.network.gateways.clear()
    for number in range(4):
        convicted_fleet.restart_gateway(number)
    convicted_fleet.advance(0.1)
    for gateway in convicted_fleet.gateways:
        assert is_refused_unsent(convicted_fleet, gateway)


def test_a_repeated_request_is_blocked_while_the_store_is_down(fleet, wire):
    wire.is_down = True
    run_load(fleet, 12.0, name_parts=name_no_parts)
    late = [count_late_sends(fleet, body) for body in FATAL_BODIES]
    assert max(late) <= MAX_LATE_SENDS


def test_a_repeated_request_is_blocked_when_datagrams_are_lost(fleet):
    fleet.lose_datagrams()
    run_load(fleet, 12.0, name_parts=name_no_parts)
    late = [count_late_sends(fleet, body) for body in FATAL_BODIES]
    assert max(late) <= MAX_LATE_SENDS


def test_a_request_that_is_sound_again_is_served_after_a_trial(blocked_fleet):
    blocked_fleet.fatal_bodies.clear()
    for number in range(80):
        blocked_fleet.request(f"n{number}", body="f0")
        blocked_fleet.advance(0.5)
    for gateway in blocked_fleet.gateways:
        request = blocked_fleet.request("n", body="f0", gateway=gateway)
        blocked_fleet.advance(1.5)
        assert is_served(request)


def test_a_failed_trial_is_not_sent_on_while_its_upstream_is_checked(
    blocked_fleet,
):
    # The check takes longer than the trial's next attempt would.
    for gateway in blocked_fleet.gateways:
        delay_checks(gateway, seconds=0.1)
    blocked_fleet.advance(31.0)
    sends = len(blocked_fleet.sent)
    for number in range(20):
        blocked_fleet.request(f"n{number}", body="f0")
        blocked_fleet.advance(0.2)
    assert len(blocked_fleet.sent) == sends + 1


def delay_checks(gateway, *, seconds):
    """Delay the connections that tell whether an upstream has ended."""
    open_idle = gateway.pool.open_idle

    async def open_later(address):
        await wait(gateway.reactor, seconds)
        return await open_idle(address)

    gateway.pool.open_idle = open_later


@pytest.mark.parametrize(
    ("count", "repetitions", "step", "others", "pause"),
    [(40, 3, 0.15, 1, 0.0), (6, 2, 0.1, 8, 0.5)],
)
def test_a_fatal_part_is_blocked_though_its_requests_come_again(
    fleet, count, repetitions, step, others, pause
):
    # Each request by itself is blocked before the next one comes.
    fleet.fatal_bodies.clear()
    fleet.fatal_parts.add(FATAL_PART)
    for number in range(count):
        for repetition in range(repetitions):
            fleet.request(
                f"q{number}r{repetition}",
                (COMMON, FATAL_PART),
                body=f"b{number}",
            )
            fleet.advance(step)
        for other in range(others):
            fleet.request(f"s{number}n{other}", (COMMON,))
            fleet.advance(pause)
    at, _ = fleet.ended[:5][-1]
    late = fleet.list_sends(FATAL_PART, after=at + CONTACT_S)
    assert len(late) <= MAX_LATE_SENDS


def test_a_held_request_is_refused_when_it_is_blocked(fleet):
    gateway, *_ = fleet.gateways
    for upstream in gateway.directory.upstreams.values():
        upstream.set_peer_load("p", (14, 0))
    request = fleet.request("n", (COMMON,), body="f0", gateway=gateway)
    assert gateway.held.waiting
    (relay,) = gateway.held.waiting
    gateway.guard.block_list.add(
        frozenset({relay.head.fingerprint}), at=fleet.reactor.seconds()
    )
    assert (request.status, request.written) == (503, b"not_run")
    assert not fleet.sent
