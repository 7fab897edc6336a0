"""Answers that take too much work or memory."""

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from hollyspan_core.errors import IntakeExceededError
from hollyspan_core.errors import StreamMalformedError
from hollyspan_gateway.http1 import EVENT_STREAM
from hollyspan_gateway.http1 import Intake
from hollyspan_gateway.http1 import PLAIN_ANSWER
from hollyspan_gateway.http1 import run_attempt
from hollyspan_standins.memory import BytePool

FAULTY = ("10.0.0.1", 1)
SOUND = ("10.0.0.2", 1)
# What one read of a socket returns at most.
READ_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Far more than the events of a stream in one turn, and far fewer than the
# chunks of one byte in one read.
MAX_PIECES_IN_TURN = 1000


class Attempt:
    """One attempt over a pool in memory and what came of it."""

    def __init__(self, pool, *, address=FAULTY, kind=PLAIN_ANSWER):
        self.body = b""
        self.parts = 0
        self.results = []
        self.work = defer.ensureDeferred(
            run_attempt(
                pool,
                address=address,
                method=b"POST",
                target=b"/x",
                headers=[(b"Host", b"h")],
                body=b"{}",
                on_reply=lambda status, headers: None,
                on_data=self.add_data,
                kind=kind,
            )
        )
        self.work.addBoth(self.results.append)
        self.connection = pool.requests[-1][0]

    def add_data(self, data):
        self.body += data
        self.parts += 1


@pytest.fixture
def pool():
    """Pool whose requests are answered by the test."""
    found = BytePool(reactor=task.Clock())
    found.answer = lambda connection, data: found.requests.append(
        (connection, data)
    )
    return found


def build_chunks(content, size):
    """Return content in chunks of a size."""
    return b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (
            content[start : start + size]
            for start in range(0, len(content), size)
        )
    )


def build_events(count):
    return [b"id: %d\ndata: x\n\n" % number for number in range(1, count + 1)]


def receive(attempt, content):
    """Receive bytes as from a socket, in reads of limited size."""
    for start in range(0, len(content), READ_BYTES):
        if not attempt.connection.transport.is_aborted:
            attempt.connection.dataReceived(
                content[start : start + READ_BYTES]
            )


def play(pool, seconds):
    """Let time pass in small steps."""
    pool.reactor.pump([0.005] * round(seconds / 0.005))


# Failure: chunks of one byte held the loop; no other connection was served,
# and the links to the store and to peers were lost.
def test_one_read_of_tiny_chunks_does_not_hold_the_loop(pool):
    attempt = Attempt(pool, kind=EVENT_STREAM)
    attempt.connection.dataReceived(CHUNKED)
    chunks = build_chunks(b":" * READ_BYTES, 1)
    attempt.connection.dataReceived(chunks[:READ_BYTES])
    assert attempt.parts < MAX_PIECES_IN_TURN


# Failure: an answer in chunks of one byte was read to its end.
def test_an_answer_of_needlessly_tiny_pieces_is_malformed(pool):
    attempt = Attempt(pool, kind=EVENT_STREAM)
    receive(attempt, CHUNKED + build_chunks(b":" * 5000, 1))
    play(pool, 1.0)
    (found,) = attempt.results
    assert isinstance(found, StreamMalformedError)
    assert attempt.parts < MAX_PIECES_IN_TURN
    assert attempt.connection.transport.is_aborted


# Failure: an answer over many turns went on at once, however much work its
# sender had caused.
@pytest.mark.parametrize("senders", [1, 8])
def test_senders_over_their_shares_leave_most_of_the_loop(pool, senders):
    content = build_chunks(b":".join([b"xxx"] * 400_000), 4)
    attempts = [
        Attempt(pool, address=("10.0.0.1", 1 + n % senders), kind=EVENT_STREAM)
        for n in range(16)
    ]
    for attempt in attempts:
        attempt.connection.dataReceived(CHUNKED)
        receive(attempt, content[: 4 * READ_BYTES])
    play(pool, 1.0)
    before = sum(attempt.parts for attempt in attempts)
    assert before > 0
    for attempt in attempts:
        receive(attempt, content[4 * READ_BYTES : 12 * READ_BYTES])
    play(pool, 2.0)
    read = sum(attempt.parts for attempt in attempts) - before
    # A piece takes some 10 microseconds: less than half of the loop.
    assert 0 < read < 2.0 * 50_000


def test_a_sound_upstream_is_read_beside_faulty_ones(pool):
    content = build_chunks(b":".join([b"xxx"] * 100_000), 4)
    for port in range(8):
        faulty = Attempt(pool, address=("10.0.0.1", port), kind=EVENT_STREAM)
        receive(faulty, CHUNKED + content)
    sound = Attempt(pool, address=SOUND, kind=EVENT_STREAM)
    events = build_events(200)
    sound.connection.dataReceived(CHUNKED)
    for number, event in enumerate(events):
        sound.connection.dataReceived(build_chunks(event, 64))
        assert sound.parts == number + 1
        play(pool, 0.005)
    sound.connection.dataReceived(b"0\r\n\r\n")
    assert sound.results == [None]


# Failure: each new connection to a sender over its share had one more read.
def test_new_connections_do_not_add_to_a_share(pool):
    content = build_chunks(b":".join([b"xxx"] * 10_000), 4)
    read = 0
    for _ in range(200):
        attempt = Attempt(pool, kind=EVENT_STREAM)
        receive(attempt, CHUNKED + content[:4000])
        read += attempt.parts
        attempt.work.cancel()
        attempt.work.addErrback(lambda failure: None)
    assert read < 20 * MAX_PIECES_IN_TURN


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 11, 14, 40])
def test_events_split_at_any_place_are_read_whole(pool, size):
    # A proxy sends each event in two parts.
    attempt = Attempt(pool, kind=EVENT_STREAM)
    events = build_events(3000)
    content = b"".join(
        build_chunks(event[:size], 64)
        + (build_chunks(event[size:], 64) if event[size:] else b"")
        for event in events
    )
    receive(attempt, CHUNKED + content + b"0\r\n\r\n")
    play(pool, 5.0)
    assert attempt.results == [None]
    assert attempt.body == b"".join(events)


@pytest.mark.parametrize("has_length", [False, True])
def test_a_large_answer_is_read_whole(pool, has_length):
    attempt = Attempt(pool)
    content = bytes(3 * 1024 * 1024)
    if has_length:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(content)
        answer = head + content
    else:
        answer = CHUNKED + build_chunks(content, 8192) + b"0\r\n\r\n"
    receive(attempt, answer)
    play(pool, 2.0)
    assert attempt.results == [None]
    assert attempt.body == content
    assert pool.intake.budget.kept == 0
    assert not pool.intake.sender_budgets


# Failure: an answer without end was kept until the time of its call was over.
@pytest.mark.parametrize(
    "head", [CHUNKED, HEAD + b"Content-Length: 9999999999\r\n\r\n", HEAD]
)
def test_an_answer_without_end_is_malformed(pool, head):
    attempt = Attempt(pool)
    content = bytes(READ_BYTES)
    if head == HEAD:
        head += b"\r\n"
    attempt.connection.dataReceived(head)
    for _ in range(200):
        receive(
            attempt,
            build_chunks(content, READ_BYTES) if head is CHUNKED else content,
        )
        play(pool, 0.05)
    (found,) = attempt.results
    assert isinstance(found, IntakeExceededError)
    assert len(attempt.body) <= 5 * 1024 * 1024


# Failure: the bytes kept were a limit of one connection times their number.
def test_answers_of_one_sender_together_are_bounded(pool):
    content = bytes(3 * 1024 * 1024)
    attempts = [Attempt(pool) for _ in range(20)]
    for attempt in attempts:
        receive(
            attempt,
            HEAD
            + b"Content-Length: %d\r\n\r\n" % (len(content) + 1)
            + content,
        )
    play(pool, 10.0)
    kept = sum(
        len(attempt.body) for attempt in attempts if not attempt.results
    )
    # Two of the largest answers, and the uncounted first bytes of each one.
    assert kept <= 2 * 8 * 1024 * 1024 + 20 * 64 * 1024
    assert pool.intake.budget.kept <= 2 * 8 * 1024 * 1024
    assert all(
        isinstance(result, IntakeExceededError)
        for attempt in attempts
        for result in attempt.results
    )


def test_usual_answers_are_read_when_no_more_bytes_may_be_kept(pool):
    pool.intake = Intake(
        reactor=pool.reactor, kept_bytes=100_000, kept_bytes_per_sender=100_000
    )
    large = Attempt(pool)
    receive(large, HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(160_000))
    assert not large.results
    usual = Attempt(pool, address=SOUND)
    receive(usual, HEAD + b"Content-Length: 60000\r\n\r\n" + bytes(60_000))
    play(pool, 0.1)
    assert usual.results == [None]


# Failure: interim answers without end were read until the time was over.
def test_interim_answers_without_end_are_malformed(pool):
    attempt = Attempt(pool)
    receive(attempt, b"HTTP/1.1 103 Early\r\n\r\n" * 2000)
    play(pool, 1.0)
    (found,) = attempt.results
    assert isinstance(found, IntakeExceededError)


def test_an_answer_that_waits_is_read_before_its_connection_ends(pool):
    attempt = Attempt(pool)
    content = bytes(300_000)
    pool.deliver(
        attempt.connection,
        HEAD + b"\r\n" + content,
        error.ConnectionDone(),
    )
    assert not attempt.results
    play(pool, 0.1)
    assert attempt.results == [None]
    assert attempt.body == content
    assert not pool.idle.get(FAULTY)


def test_a_cancelled_answer_is_not_read_on(pool):
    attempt = Attempt(pool)
    receive(attempt, CHUNKED + build_chunks(bytes(60_000), 1000))
    read = attempt.parts
    attempt.work.cancel()
    play(pool, 0.1)
    assert attempt.parts == read
    assert not pool.reactor.getDelayedCalls()
    assert pool.intake.budget.kept == 0
