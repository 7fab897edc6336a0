"""Tests of the evidence that one gateway collects and tells."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import StreamStalledError
from hollyspan_gateway.crashes import BlockNotice
from hollyspan_gateway.crashes import EndNotice
from hollyspan_gateway.crashes import OtherEndNotice
from hollyspan_gateway.crashes import SurvivalNotice
from hollyspan_gateway.peers import decode_message
from hollyspan_gateway.peers import encode_message
from hollyspan_gateway.peers import FleetMessage

PART = 2**63 + 5
# Payload of a datagram in an Ethernet frame.
DATAGRAM_BYTES = 1472


@pytest.fixture
def send(gateway, reactor, helpers):
    """Return a function that sends a request and returns its connection."""

    def begin(parts=(PART,), *, name="q"):
        request = helpers.build_request(reactor=reactor)
        head = helpers.build_head(name, shared_parts=parts)
        defer.ensureDeferred(gateway.online.answer(request, head))
        return gateway.pool.last

    return begin


def build_message(**notices):
    return FleetMessage(
        sender=1,
        incarnation=2,
        sequence=3,
        is_full=False,
        loads=[],
        **notices,
    )


def fail(connection, error):
    connection.pool.unreachable.add(connection.address)
    connection.exchange.on_failure(error)


def test_an_end_is_told_with_the_requests_in_flight(gateway, send, reactor):
    first = send((1, PART), name="q1")
    second = send((1, 7), name="q2")
    assert first.address != second.address
    fail(first, StreamLostError("connection closed"))
    (end,) = gateway.describe()["ends"]
    assert end.requests == [(1, PART)]
    ((upstream, suspect_until),) = [
        (upstream, upstream.suspect_until)
        for upstream in gateway.directory.upstreams.values()
        if upstream.entry.address == first.address
    ]
    assert suspect_until > reactor.seconds()
    assert end.upstream == upstream.entry.incarnation_key


def test_a_request_that_is_answered_for_long_is_not_told(
    gateway, send, reactor, helpers
):
    connection = send()
    connection.answer(200, body=helpers.build_events(1, 1), is_complete=False)
    reactor.advance(0.6)
    connection.exchange.on_data(helpers.build_events(2, 2))
    fail(connection, StreamLostError("connection closed"))
    assert gateway.describe()["ends"] == []


def test_a_silent_upstream_has_not_ended(gateway, send):
    fail(send(), StreamStalledError("no data"))
    assert gateway.describe()["ends"] == []


def test_an_answer_without_an_end_of_its_own_shows_no_survival(
    gateway, send, helpers
):
    events = helpers.build_events(1, 2)
    send().answer(200, headers=[(b"undelimited", b"1")], body=events)
    assert not gateway.guard.evidence.survivals
    send().answer(200, body=events)
    assert PART in gateway.guard.evidence.survivals


def test_notices_survive_encoding():
    message = build_message(
        ends=[EndNotice(upstream=4, requests=[(5, PART), (6,)], age=0.25)],
        survivals=[SurvivalNotice(keys=(5,), age=1.5)],
        blocks=[BlockNotice(keys=(PART,), age=1e9, failed_trials=2)],
    )
    decoded = decode_message(encode_message(message))
    (end,), (survival,) = decoded.ends, decoded.survivals
    (block,) = decoded.blocks
    assert (end.upstream, end.requests) == (4, [(5, PART), (6,)])
    assert end.age == 0.25
    assert (survival.keys, survival.age) == ((5,), 1.5)
    assert (block.keys, block.failed_trials) == ((PART,), 2)
    assert block.age > 1e6


def test_a_message_stays_within_bounds(gateway, reactor):
    for number in range(200):
        requests = {(number, other) for other in range(40)}
        gateway.guard.news.tell_end(number, requests, at=reactor.seconds())
        gateway.guard.news.tell_survival((number,), at=reactor.seconds())
        gateway.guard.block_list.add(frozenset({number}), at=reactor.seconds())
    message = gateway.peers.build_message(
        loads=[], is_full=True, **gateway.describe()
    )
    assert message.ends and message.survivals and message.blocks
    assert len(encode_message(message)) < DATAGRAM_BYTES
    reactor.advance(20.0)
    assert gateway.describe()["ends"] == []


def test_an_older_survival_of_a_peer_does_not_replace_a_newer_one(
    gateway, reactor
):
    now = reactor.seconds()
    news = gateway.guard.news
    news.tell_survival((PART,), at=now - 0.1)
    message = build_message(
        survivals=[SurvivalNotice(keys=(PART,), age=4.0)],
    )
    news.apply(message)
    (survival,) = gateway.describe()["survivals"]
    assert survival.age == pytest.approx(0.1)
    news.tell_survival((PART,), at=now - 2.0)
    news.note_refutation({PART}, at=now - 3.0)
    assert news.list_told()[PART] == now - 0.1


def test_blocks_are_bounded(gateway, reactor):
    for number in range(200):
        gateway.guard.block_list.add(frozenset({number}), at=reactor.seconds())
    assert len(gateway.guard.blocks) <= 64
    assert frozenset({199}) in gateway.guard.blocks


def test_an_older_block_does_not_return_after_a_survival(gateway, reactor):
    at = reactor.seconds()
    gateway.guard.block_list.add(frozenset({PART}), at=at)
    reactor.advance(1.0)
    gateway.guard.handle_survival((PART,))
    assert not gateway.guard.blocks
    message = build_message(
        blocks=[BlockNotice(keys=(PART,), age=1.0, failed_trials=0)],
    )
    gateway.guard.news.apply(message)
    assert not gateway.guard.blocks


def test_malformed_records_in_the_store_are_passed_over(
    gateway, wire, reactor
):
    token = b"\0" * 16
    good = b'{"parts": [7], "blocked_at": 90.0, "failed_trials": 0}'
    contents = (b"no json", b"[]", b'{"parts": 3}', b'{"parts": ["x"]}', good)
    wire.change(
        {
            f"hs/x/{number}": token + content
            for number, content in enumerate(contents)
        }
    )
    gateway.guard.records.start()
    reactor.advance(0.1)
    assert set(gateway.guard.blocks) == {frozenset({7})}


def test_a_late_notice_of_an_end_counts(gateway):
    peer_key = 7
    for sequence in (2, 1):
        message = FleetMessage(
            sender=peer_key,
            incarnation=1,
            sequence=sequence,
            is_full=False,
            loads=[],
            ends=[EndNotice(upstream=sequence, requests=[(PART,)], age=0.0)],
        )
        gateway.peers.datagramReceived(
            encode_message(message), ("10.0.0.7", 1)
        )
    assert set(gateway.guard.evidence.ends) == {1, 2}


# Failure: a part that all prompts share was blocked, since an end counted
# before the gateway that had the fatal request in flight told of it.
def test_an_end_counts_once_all_gateways_had_time_to_tell_of_it(
    gateway, reactor
):
    common, fatal, other = 1, 2, 3
    guard = gateway.guard

    def report(upstream, *requests):
        guard.apply_end(
            upstream, requests, at=reactor.seconds(), is_confirmed=True
        )

    for upstream in (11, 12, 13):
        report(upstream, (common, fatal), (common, upstream))
    reactor.advance(0.19)
    report(14, (common, other))
    reactor.advance(0.02)
    assert list(guard.blocks) == [frozenset((fatal,))]
    report(14, (common, fatal))
    reactor.advance(1.0)
    assert list(guard.blocks) == [frozenset((fatal,))]


def test_later_ends_are_decided_without_another_report(gateway, reactor):
    for upstream in (11, 12, 13):
        gateway.guard.apply_end(
            upstream,
            [(upstream, PART)],
            at=reactor.seconds(),
            is_confirmed=True,
        )
        reactor.advance(0.08)
    reactor.advance(0.25)
    assert list(gateway.guard.blocks) == [frozenset((PART,))]


# Failure: a gateway that had been started again blocked a part that all
# prompts share, since the reports of its predecessor were missing.
def test_ends_before_the_start_of_a_gateway_block_nothing(gateway, reactor):
    reactor.advance(1.0)
    ends = [
        EndNotice(upstream=n, requests=[(PART, n)], age=5.0) for n in range(6)
    ]
    gateway.guard.news.apply(build_message(ends=ends))
    reactor.advance(1.0)
    assert not gateway.guard.blocks
    for end in ends:
        end.age = 0.5
        end.upstream += len(ends)
    gateway.guard.news.apply(build_message(ends=ends))
    reactor.advance(1.0)
    assert list(gateway.guard.blocks) == [frozenset((PART,))]


COMMON, FATAL = 2**62 + 1, 2**62 + 2
FIRST, SECOND = 2**61 + 1, 2**61 + 2


def find_refused(gateway):
    """Return the parts with which new requests are refused."""
    return [
        part
        for part in (FATAL, PART)
        if not gateway.guard.block_list.may_send((COMMON, part, 5))
    ]


def build_waves(ages):
    """Return the reports of two waves of ends, each with a fatal request.

    Returns
    -------
    (list of EndNotice, list of EndNotice)
        Of the first wave and of the requests that ran beside the second; and
        of the fatal request of the second wave.
    """
    known, late = [], []
    for wave, (age, fatal) in enumerate(zip(ages, (FIRST, SECOND))):
        for number in range(4):
            upstream = 10 * wave + number
            beside = 100 + upstream
            known.append(
                EndNotice(
                    upstream=upstream,
                    requests=[(COMMON, beside)],
                    fingerprints=[beside],
                    age=age,
                )
            )
            (late if wave else known).append(
                EndNotice(
                    upstream=upstream,
                    requests=[(COMMON, FATAL, fatal)],
                    fingerprints=[fatal],
                    age=age,
                )
            )
    return known, late


# Failure: a gateway that had fewer of the reports blocked a part that all
# prompts share, all took the block over, and every stream was refused.
def test_a_block_ends_with_the_reports_that_explain_its_ends(gateway, reactor):
    reactor.advance(5.0)
    news = gateway.guard.news
    known, late = build_waves((3.1, 0.0))
    news.apply(build_message(ends=known))
    reactor.advance(0.25)
    assert frozenset((COMMON,)) in gateway.guard.blocks
    for end in late:
        end.age = 0.3
    news.apply(build_message(ends=late))
    reactor.advance(0.25)
    assert find_refused(gateway) == [FATAL]
    assert gateway.describe()["survivals"] == []


@pytest.mark.parametrize("seconds", [0.1, 0.5])
def test_a_block_decided_on_fewer_reports_is_not_taken_over(
    gateway, reactor, seconds
):
    reactor.advance(5.0)
    news = gateway.guard.news
    known, late = build_waves((3.1, 0.0))
    news.apply(build_message(ends=known + late))
    reactor.advance(seconds)
    block = BlockNotice(keys=(COMMON,), age=0.0, failed_trials=0)
    news.apply(build_message(blocks=[block]))
    assert frozenset((COMMON,)) not in gateway.guard.blocks
    reactor.advance(0.3)
    # Heartbeats repeat it.
    block.age = 0.3
    news.apply(build_message(blocks=[block]))
    assert find_refused(gateway) == [FATAL]


def test_a_block_is_taken_over_without_the_reports_on_it(gateway, reactor):
    reactor.advance(5.0)
    known, _ = build_waves((3.1, 0.0))
    news = gateway.guard.news
    news.apply(build_message(ends=known))
    reactor.advance(0.5)
    news.apply(
        build_message(
            blocks=[BlockNotice(keys=(FATAL,), age=0.0, failed_trials=0)]
        )
    )
    news.apply(
        build_message(
            blocks=[BlockNotice(keys=(PART,), age=0.0, failed_trials=0)]
        )
    )
    assert frozenset((FATAL,)) in gateway.guard.blocks
    assert frozenset((PART,)) in gateway.guard.blocks


def test_a_block_that_was_not_taken_over_is_refuted_by_a_survival(
    gateway, reactor
):
    reactor.advance(5.0)
    news = gateway.guard.news
    known, late = build_waves((3.1, 0.0))
    news.apply(build_message(ends=known + late))
    reactor.advance(0.5)
    block = BlockNotice(keys=(COMMON,), age=0.0, failed_trials=0)
    news.apply(build_message(blocks=[block]))
    reactor.advance(1.0)
    gateway.guard.handle_survival((COMMON, 5))
    block.age = 1.0
    news.apply(build_message(blocks=[block]))
    told = gateway.describe()["survivals"]
    assert (COMMON,) in [survival.keys for survival in told]


# Failure: a gateway that knew few of the ends refuted the block of a fatal
# part, since a blocked request or a part beside explained these.
@pytest.mark.parametrize("other", [FIRST, PART])
def test_a_gateway_that_knows_few_ends_takes_a_block_over(
    gateway, reactor, other
):
    reactor.advance(5.0)
    news = gateway.guard.news
    ends = [
        EndNotice(
            upstream=number,
            requests=[(COMMON, FATAL, PART, FIRST), (COMMON, FATAL, SECOND)],
            fingerprints=[FIRST, SECOND],
            age=0.0,
        )
        for number in range(2)
    ]
    news.apply(build_message(ends=ends))
    for part in (other, FATAL):
        block = BlockNotice(keys=(part,), age=0.0, failed_trials=0)
        news.apply(build_message(blocks=[block]))
    reactor.advance(0.5)
    assert FATAL in find_refused(gateway)
    assert gateway.describe()["survivals"] == []


def end_after_long_answer(gateway, connection, reactor, helpers):
    connection.answer(200, body=helpers.build_events(1, 1), is_complete=False)
    reactor.advance(0.6)
    connection.exchange.on_data(helpers.build_events(2, 2))
    fail(connection, StreamLostError("connection closed"))
    reactor.advance(0.1)


def test_an_end_that_no_request_may_have_caused_is_told_as_such(
    gateway, send, reactor, helpers
):
    sent = []
    gateway.peers.send_change = lambda peers, **fields: sent.append(fields)
    connection = send()
    end_after_long_answer(gateway, connection, reactor, helpers)
    ((key, record),) = gateway.guard.evidence.other_ends.items()
    assert record.is_confirmed
    notices = [
        notice for fields in sent for notice in fields.get("other_ends", ())
    ]
    assert [notice.upstream for notice in notices] == [key]
    message = build_message(other_ends=notices)
    (notice,) = decode_message(encode_message(message)).other_ends
    assert (notice.upstream, notice.age < 0.2) == (key, True)


def test_an_end_before_a_request_was_read_is_not_told_as_another(
    gateway, send, reactor
):
    connection = send()
    (upstream,) = [
        each
        for each in gateway.directory.upstreams.values()
        if each.entry.address == connection.address
    ]
    gateway.reach.note_silence(upstream)
    fail(connection, StreamLostError("connection closed"))
    reactor.advance(0.1)
    evidence = gateway.guard.evidence
    assert not evidence.ends and not evidence.other_ends


def test_many_other_ends_fit_into_a_message(gateway, reactor):
    sent = []
    gateway.peers.send_change = lambda peers, **fields: sent.append(fields)
    for number in range(200):
        gateway.guard.news.tell_other_end(
            2**63 + number, at=reactor.seconds() - 1e6
        )
    reactor.advance(0.1)
    (fields,) = sent
    message = gateway.peers.build_message(loads=[], is_full=False, **fields)
    assert len(encode_message(message)) < DATAGRAM_BYTES


# Failure: items of a job stayed open, since their part was blocked for ends
# of upstreams that were lost together with others.
def test_ends_beside_others_without_requests_block_no_part(gateway, reactor):
    news = gateway.guard.news
    for number in range(5):
        end = EndNotice(upstream=number, requests=[(PART,)], age=0.0)
        other = OtherEndNotice(upstream=100 + number, age=0.0)
        news.apply(build_message(ends=[end], other_ends=[other]))
        reactor.advance(1.0)
    assert not gateway.guard.blocks
    for number in range(10, 13):
        end = EndNotice(upstream=number, requests=[(PART,)], age=0.0)
        news.apply(build_message(ends=[end]))
        reactor.advance(1.0)
    assert list(gateway.guard.blocks) == [frozenset((PART,))]


# Failure: the same, where the others were seen a little later or by a gateway
# that others had not confirmed yet.
@pytest.mark.parametrize("is_confirmed", [True, False])
def test_later_ends_tell_a_common_cause_before_they_count(
    gateway, reactor, is_confirmed
):
    for number in range(3):
        for upstream, part in ((number, PART), (100 + number, 7)):
            gateway.guard.apply_end(
                upstream,
                [(part, upstream)],
                at=reactor.seconds(),
                is_confirmed=is_confirmed or part == PART,
            )
            reactor.advance(0.08)
        gateway.guard.handle_survival((7,))
        reactor.advance(0.5)
    assert not gateway.guard.blocks


# Failure: the same, where the others had no requests at all.
@pytest.mark.parametrize("has_ended", [True, False])
def test_idle_upstreams_are_checked_beside_an_end(
    gateway, send, reactor, has_ended
):
    connection = send()
    (exposure,) = gateway.guard.exposures
    idle = next(
        upstream
        for upstream in gateway.directory.upstreams.values()
        if upstream.entry.address != connection.address
    )
    if has_ended:
        gateway.pool.unreachable.add(idle.entry.address)
    gateway.pool.on_idle_lost(idle.entry.address)
    closed_at = reactor.seconds()
    reactor.advance(0.02)
    gateway.guard.handle_end(exposure.upstream, [exposure])
    reactor.advance(0.1)
    ends = gateway.guard.evidence.other_ends
    assert list(ends) == [idle.entry.incarnation_key] * has_ended
    for end in ends.values():
        assert (end.at, end.is_confirmed) == (closed_at, True)


def test_closed_idle_connections_alone_check_nothing(gateway, send, reactor):
    address, *_ = [
        upstream.entry.address
        for upstream in gateway.directory.upstreams.values()
    ]
    gateway.pool.unreachable.add(address)
    gateway.pool.on_idle_lost(address)
    reactor.advance(1.0)
    fail(send(), StreamLostError("connection closed"))
    reactor.advance(0.5)
    assert not gateway.guard.evidence.other_ends
    for number in range(1000):
        gateway.pool.on_idle_lost(("10.0.0.1", number))
    assert len(gateway.guard.detector.closed) <= 256
