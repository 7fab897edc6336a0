"""Tests with prompts that end each upstream that begins to answer them."""

import pytest

from hollyspan_standins.memory import LinkState

COMMON = 1
FATAL = 2
SOUND = 3
# Time after the fifth end from which the gateways know the part, and the sends
# with it that are allowed later.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
STEP_S = 0.1


@pytest.fixture
def fleet(build_fleet):
    fleet = build_fleet()
    fleet.fatal_parts.add(FATAL)
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
    """Return the sends after the fifth end, or after the last one of fewer."""
    at, _ = fleet.ended[:5][-1]
    return fleet.list_sends(FATAL, after=at + CONTACT_S)


def test_a_part_that_ends_upstreams_is_not_sent_on(fleet):
    run_load(fleet, 12.0)
    assert len(find_late_sends(fleet)) <= MAX_LATE_SENDS


def test_requests_that_share_other_parts_are_served(fleet):
    run_load(fleet, 8.0)
    sound, _ = run_load(fleet, 6.0, name="r")
    fleet.advance(2.0)
    served = sum(
        request.status == 200 and request.is_ended for request in sound
    )
    assert served > 0.9 * len(sound)


@pytest.fixture
def blocked_fleet(fleet):
    """A fleet that has blocked the fatal part."""
    run_load(fleet, 3.0)
    fleet.advance(2.5)
    assert all(gateway.guard.blocks for gateway in fleet.gateways)
    return fleet


@pytest.fixture
def convicted_fleet(blocked_fleet):
    """A fleet in which two trials of the fatal part have failed."""
    ended = len(blocked_fleet.ended)
    for number in range(60):
        blocked_fleet.request(f"c{number}", (FATAL,))
        blocked_fleet.advance(0.25)
    assert len(blocked_fleet.ended) == ended + 2
    for gateway in blocked_fleet.gateways:
        (block,) = gateway.guard.blocks.values()
        assert block.failed_trials == 2
    return blocked_fleet


def is_refused_unsent(fleet, request):
    sent = [send.connection.headers[b"id"] for send in fleet.sent]
    return (
        request.status == 503
        and request.written == b"not_run"
        and request.identifier.encode() not in sent
    )


def test_a_blocked_request_is_refused_at_once(convicted_fleet):
    for gateway in convicted_fleet.gateways:
        new = convicted_fleet.request("n", (5, FATAL), gateway=gateway)
        resumed = convicted_fleet.request(
            "m", (5, FATAL), gateway=gateway, resume=3
        )
        assert is_refused_unsent(convicted_fleet, new)
        assert is_refused_unsent(convicted_fleet, resumed)


def test_a_request_that_ended_an_upstream_is_not_reported_as_not_run(
    blocked_fleet,
):
    gateway, *_ = blocked_fleet.gateways
    gateway.guard.blocks.clear()
    request = blocked_fleet.request("n", (5, FATAL), gateway=gateway)
    gateway.guard.block_list.add(
        frozenset({FATAL}), at=blocked_fleet.reactor.seconds()
    )
    blocked_fleet.advance(0.1)
    assert request.written == b"unknown"
    assert len(blocked_fleet.list_sends(5)) == 1


def test_a_held_request_is_refused_when_its_part_is_blocked(fleet):
    gateway, *_ = fleet.gateways
    for upstream in gateway.directory.upstreams.values():
        upstream.set_peer_load("p", (14, 0))
    request = fleet.request("n", (FATAL,), gateway=gateway)
    assert gateway.held.waiting
    gateway.guard.block_list.add(
        frozenset({FATAL}), at=fleet.reactor.seconds()
    )
    assert is_refused_unsent(fleet, request)


def test_a_gateway_that_hears_no_peer_reads_the_blocks_in_the_store(fleet):
    fleet.network.isolate(1003)
    fleet.advance(2.0)
    *others, isolated = fleet.gateways
    for number in range(50):
        fleet.request(f"n{number}", (FATAL,), gateway=others[number % 3])
        fleet.advance(0.3)
    fleet.advance(2.0)
    assert is_refused_unsent(
        fleet, fleet.request("n", (FATAL,), gateway=isolated)
    )


def test_blocks_outlast_a_restart_of_all_gateways(convicted_fleet):
    convicted_fleet.network.gateways.clear()
    for number in range(4):
        convicted_fleet.restart_gateway(number)
    convicted_fleet.advance(0.1)
    for gateway in convicted_fleet.gateways:
        request = convicted_fleet.request("n", (FATAL,), gateway=gateway)
        assert is_refused_unsent(convicted_fleet, request)


def test_a_restarted_gateway_hears_of_the_blocks_without_the_store(
    convicted_fleet, wire
):
    wire.is_down = True
    gateway = convicted_fleet.restart_gateway(1)
    request = convicted_fleet.request("n", (FATAL,), gateway=gateway)
    assert is_refused_unsent(convicted_fleet, request)


def test_the_part_is_blocked_while_the_store_is_down(fleet, wire):
    wire.is_down = True
    run_load(fleet, 12.0)
    assert len(find_late_sends(fleet)) <= MAX_LATE_SENDS


def test_the_part_is_blocked_when_datagrams_are_lost(fleet):
    fleet.lose_datagrams()
    run_load(fleet, 12.0)
    assert len(find_late_sends(fleet)) <= MAX_LATE_SENDS


def test_a_part_that_is_sound_again_is_served_after_a_trial(blocked_fleet):
    blocked_fleet.fatal_parts.clear()
    for number in range(100):
        blocked_fleet.request(f"n{number}", (FATAL,))
        blocked_fleet.advance(0.5)
    for gateway in blocked_fleet.gateways:
        request = blocked_fleet.request("n", (FATAL,), gateway=gateway)
        blocked_fleet.advance(1.5)
        assert request.is_ended and request.status == 200
    assert not any(
        key.startswith("hs/x/")
        for key in blocked_fleet.gateways[0].store.wire.entries
    )


# Failure: a block lasted for good if its requests came to other gateways than
# the one that was to try it.
@pytest.mark.parametrize("number", range(4))
def test_a_part_is_tried_at_the_only_gateway_that_gets_requests_with_it(
    blocked_fleet, number
):
    blocked_fleet.fatal_parts.clear()
    gateway = blocked_fleet.gateways[number]
    for count in range(90):
        blocked_fleet.request(f"n{count}", (FATAL,), gateway=gateway)
        blocked_fleet.advance(0.5)
    assert not any(each.guard.blocks for each in blocked_fleet.gateways)


def test_a_failed_trial_is_known_to_all_gateways(blocked_fleet, wire):
    ended = len(blocked_fleet.ended)
    for number in range(100):
        for gateway in blocked_fleet.gateways:
            blocked_fleet.request(f"n{number}", (FATAL,), gateway=gateway)
        blocked_fleet.advance(0.5)
    assert len(blocked_fleet.ended) == ended + 2
    for gateway in blocked_fleet.gateways:
        (block,) = gateway.guard.blocks.values()
        assert block.failed_trials == 2
    (record,) = [
        entry.content
        for key, entry in wire.entries.items()
        if key.startswith("hs/x/")
    ]
    assert b'"failed_trials": 2' in record


def test_failed_trials_become_rarer(blocked_fleet):
    ended = len(blocked_fleet.ended)
    for number in range(280):
        blocked_fleet.request(f"n{number}", (FATAL,))
        blocked_fleet.advance(0.5)
    # After 2 s, 6 s after that and, with a delay of 480 s, not again in 140 s.
    assert len(blocked_fleet.ended) == ended + 2


def test_upstreams_lost_together_block_nothing(fleet):
    fleet.fatal_parts.clear()
    run_load(fleet, 3.0)
    for _ in range(3):
        for name in list(fleet.upstreams):
            fleet.end_upstream(name)
        run_load(fleet, 4.0)
    assert not any(gateway.guard.blocks for gateway in fleet.gateways)


def test_reset_connections_are_no_ends(fleet):
    fleet.fatal_parts.clear()
    for number in range(30):
        fleet.request(f"n{number}", (FATAL,))
        fleet.advance(0.1)
        for name in fleet.upstreams:
            fleet.break_connections(name)
    assert not any(gateway.guard.evidence.ends for gateway in fleet.gateways)


def test_a_block_shrinks_when_one_of_its_parts_proves_sound(fleet):
    gateway, *_ = fleet.gateways
    for number in range(3):
        fleet.request(f"n{number}", (COMMON, FATAL), gateway=gateway)
        fleet.advance(0.3)
    assert frozenset({COMMON, FATAL}) in gateway.guard.blocks
    fleet.request("s", (COMMON,))
    fleet.advance(1.0)
    for each in fleet.gateways:
        assert set(each.guard.blocks) == {frozenset({FATAL})}
        request = fleet.request("n", (77, FATAL), gateway=each)
        assert is_refused_unsent(fleet, request)


def test_requests_are_limited_to_the_blocked_combination(fleet):
    gateway, *_ = fleet.gateways
    for number in range(3):
        fleet.request(f"n{number}", (COMMON, FATAL), gateway=gateway)
        fleet.advance(0.3)
    request = fleet.request("s", (COMMON,), gateway=gateway)
    fleet.advance(1.5)
    assert request.status == 200 and request.is_ended


def test_a_blocked_request_is_not_held(convicted_fleet):
    gateway, *_ = convicted_fleet.gateways
    for upstream in gateway.directory.upstreams.values():
        upstream.set_peer_load("p", (14, 0))
    request = convicted_fleet.request("n", (FATAL,), gateway=gateway)
    assert is_refused_unsent(convicted_fleet, request)


def test_one_trial_is_made_at_a_time(blocked_fleet):
    blocked_fleet.advance(31.0)
    ended = len(blocked_fleet.ended)
    for number in range(8):
        for gateway in blocked_fleet.gateways:
            blocked_fleet.request(f"n{number}", (FATAL,), gateway=gateway)
    blocked_fleet.advance(1.0)
    assert len(blocked_fleet.ended) == ended + 1


def test_an_end_is_told_before_the_next_heartbeat(fleet):
    fleet.advance(1.0)
    gateway, *others = fleet.gateways
    gateway.peers.heartbeat_call.cancel()
    gateway.peers.heartbeat_call = None
    fleet.request("n", (FATAL,), gateway=gateway)
    fleet.advance(0.1)
    assert all(other.guard.evidence.ends for other in others)


def test_a_block_that_is_removed_from_the_store_does_not_return(
    blocked_fleet, wire
):
    keys = [key for key in wire.entries if key.startswith("hs/x/")]
    assert keys
    # One gateway does not see the removal.
    blocked_fleet.gateways[3].guard.records.mirror.stop()
    wire.change({}, removed=keys)
    blocked_fleet.advance(5.0)
    assert not any(gateway.guard.blocks for gateway in blocked_fleet.gateways)


def test_one_gateway_removes_the_record_of_a_refuted_block(
    blocked_fleet, wire
):
    blocked_fleet.fatal_parts.clear()
    fleet = blocked_fleet
    commits = wire.calls.count("commit")
    blocked_fleet.advance(31.0)
    for gateway in blocked_fleet.gateways:
        blocked_fleet.request("n", (FATAL,), gateway=gateway)
    blocked_fleet.advance(2.0)
    assert not any(gateway.guard.blocks for gateway in blocked_fleet.gateways)
    # Each gateway claims the trial, and one removes the block and the claim.
    assert wire.calls.count("commit") == commits + len(fleet.gateways) + 1
    assert not any(key.startswith(("hs/x/", "hs/y/")) for key in wire.entries)


def count_messages_with_blocks(fleet):
    """Record the messages that tell a block outside heartbeats, by sender."""
    senders = []
    for gateway in fleet.gateways:
        send = gateway.peers.send

        def record(peers, message, gateway=gateway, send=send):
            if message.blocks and not message.is_full:
                senders.append(gateway.settings.instance)
            send(peers, message)

        gateway.peers.send = record
    return senders


def test_one_gateway_tells_all_others_of_a_block(fleet):
    senders = count_messages_with_blocks(fleet)
    for number, gateway in enumerate(fleet.gateways):
        fleet.request(f"n{number}", (FATAL,), gateway=gateway)
        fleet.advance(0.3)
    fleet.advance(2.0)
    assert all(gateway.guard.blocks for gateway in fleet.gateways)
    assert len(senders) == 1


# Failure: while an upstream stood still and nothing else was heard, no end
# was counted.
@pytest.mark.parametrize("silent", [("u1",), ("u1", "u2")])
def test_a_fatal_part_is_blocked_beside_upstreams_that_stand_still(
    build_fleet, silent
):
    fleet = build_fleet(gateways=2, upstreams=6)
    for number in range(20):
        fleet.request(f"w{number}", gateway=fleet.gateways[number % 2])
        fleet.advance(0.05)
    fleet.advance(2.0)
    fleet.fatal_parts.add(FATAL)
    fleet.silent_upstreams.update(silent)
    for number in range(20):
        fleet.request(
            f"f{number}",
            (FATAL, 100 + number),
            gateway=fleet.gateways[number % 2],
        )
        for _ in range(10):
            fleet.advance(STEP_S)
    assert all(gateway.guard.blocks for gateway in fleet.gateways)
    assert len(find_late_sends(fleet)) <= MAX_LATE_SENDS


def end_all_upstreams(fleet, *, part=FATAL, other_delay=1.5):
    """End a whole service, whose upstreams come back under their names.

    Those with a part in flight after 1.5 s, the others after their delay.
    """
    for number in range(3):
        fleet.request(f"p{number}", (part,))
    for number in range(20):
        for gateway in fleet.gateways:
            fleet.request(f"q{number}", (100 + number,), gateway=gateway)
    fleet.advance(0.04)
    with_part = {send.upstream for send in fleet.list_sends(part)}
    for name in list(fleet.upstreams):
        delay = 1.5 if name in with_part else other_delay
        fleet.replace_upstream(name, version="v1", delay=delay)
    return with_part


# Failure: each gateway took its own links for lost when all upstreams of a
# service ended at once; none counted the ends, and the part was sent on.
@pytest.mark.parametrize("has_reports", [True, False])
def test_ends_of_a_whole_service_count_once_others_have_its_names(
    build_fleet, has_reports
):
    fleet = build_fleet(upstreams=4, tells_start=True)
    fleet.has_reports = has_reports
    end_all_upstreams(fleet)
    fleet.advance(1.5)
    evidence = [gateway.guard.evidence for gateway in fleet.gateways]
    now = fleet.reactor.seconds()
    assert not any(each.list_ends(now=now) for each in evidence)
    fleet.advance(0.5)
    if not has_reports:
        fleet.tell_store()
    fleet.advance(0.1)
    now = fleet.reactor.seconds()
    assert [len(each.list_ends(now=now)) for each in evidence] == [4] * 4


# Failure: upstreams that were replaced after a cut had ended in it.
@pytest.mark.parametrize("announces", [True, False])
def test_upstreams_that_are_replaced_after_a_cut_have_not_ended(
    build_fleet, announces
):
    fleet = build_fleet(upstreams=4, tells_start=True)
    gateway = fleet.gateways[0]
    for number in range(12):
        fleet.request(f"q{number}", (COMMON,), gateway=gateway)
    fleet.set_links(gateway, LinkState.REFUSES)
    fleet.advance(1.0)
    assert gateway.guard.evidence.ends
    fleet.restore_links(gateway)
    fleet.advance(1.0 if announces else 6.0)
    for each in fleet.gateways:
        for upstream in each.directory.upstreams.values():
            upstream.has_departed = announces
    for name in list(fleet.upstreams):
        fleet.replace_upstream(name, version="v1", delay=0.5)
    fleet.advance(1.0)
    fleet.tell_store()
    fleet.advance(0.1)
    now = fleet.reactor.seconds()
    for each in fleet.gateways:
        assert not each.guard.evidence.list_ends(now=now)


# Failure: the first upstreams that were back after a loss of all confirmed
# their ends, and a sound part that only these had in flight was blocked.
def test_a_part_is_not_blocked_by_those_that_are_back_first(build_fleet):
    fleet = build_fleet(upstreams=8, tells_start=True)
    with_part = end_all_upstreams(fleet, part=SOUND, other_delay=3.5)
    assert len(with_part) == 3
    fleet.advance(2.0)
    for name in with_part:
        del fleet.listed[name]
        entry = fleet.build_listed(name, fleet.upstreams[name])
        for gateway in fleet.gateways:
            gateway.directory.update_entry(name, entry)
    fleet.advance(0.5)
    now = fleet.reactor.seconds()
    for gateway in fleet.gateways:
        assert len(gateway.guard.evidence.list_ends(now=now)) == 3
        assert not gateway.guard.blocks
