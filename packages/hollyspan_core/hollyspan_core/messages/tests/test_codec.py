"""Tests of messages between daemons."""

from hypothesis import example
from hypothesis import given
from hypothesis import strategies
import pytest

from hollyspan_core.errors import PeerAuthenticationError
from hollyspan_core.errors import PeerMessageError
from hollyspan_core.messages import BatchStreams
from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import build_hello
from hollyspan_core.messages import build_notice
from hollyspan_core.messages import build_notice_answer
from hollyspan_core.messages import compute_digest
from hollyspan_core.messages import DaemonState
from hollyspan_core.messages import decode_message
from hollyspan_core.messages import encode_message
from hollyspan_core.messages import Heartbeat
from hollyspan_core.messages import Hello
from hollyspan_core.messages import InFlight
from hollyspan_core.messages import Notice
from hollyspan_core.messages import NoticeAnswer
from hollyspan_core.messages import read_heartbeat
from hollyspan_core.messages import read_hello
from hollyspan_core.messages import read_notice
from hollyspan_core.messages import read_notice_answer
from hollyspan_core.messages import UpstreamLoadReport

KEY = b"key"
READERS = (read_heartbeat, read_hello, read_notice, read_notice_answer)


def build_daemon_state(name):
    return DaemonState(
        instance=name,
        data_centre="attiki-a",
        region="attiki",
        incarnation=2**60,
        sequence=3,
        leaving=False,
        generation=7,
        peer_address="127.0.0.1",
        peer_port=7000,
        http_port=8080,
        free_slots=5,
    )


def build_full_heartbeat():
    return Heartbeat(
        sender=build_daemon_state("a"),
        in_flight=[InFlight(upstream="e1", online=2, batch=1)],
        leaving_upstreams=["e2"],
        cancelled_jobs=["batch_1"],
        remotes=[build_daemon_state("b")],
        reports=[
            UpstreamLoadReport(
                upstream="e1", waiting=3, running=8, reachable=True
            )
        ],
        batch_streams=[BatchStreams(upstream="e1", highest=9, running=[7, 9])],
    )


def sign(content):
    return compute_digest(content, key=KEY, context=b"") + content


def test_a_heartbeat_round_trip_preserves_all_fields():
    encoded = encode_message(build_heartbeat(build_full_heartbeat()), key=KEY)
    heartbeat = read_heartbeat(decode_message(encoded, key=KEY))
    assert heartbeat.sender.instance == "a"
    assert heartbeat.sender.incarnation == 2**60
    assert heartbeat.in_flight[0].online == 2
    assert heartbeat.leaving_upstreams == ["e2"]
    assert heartbeat.cancelled_jobs == ["batch_1"]
    assert heartbeat.remotes[0].generation == 7
    assert heartbeat.reports[0].waiting == 3
    assert heartbeat.batch_streams[0].highest == 9
    assert heartbeat.batch_streams[0].running == [7, 9]


def test_a_notice_round_trip_preserves_its_fields():
    loads = [InFlight(upstream="e1", online=2, batch=0)]
    notice = Notice(
        instance="a",
        incarnation=1,
        sequence=2,
        in_flight=loads,
        wants_answer=True,
    )
    encoded = encode_message(build_notice(notice), key=KEY)
    decoded = read_notice(decode_message(encoded, key=KEY))
    assert decoded.sequence == 2
    assert decoded.wants_answer


def test_an_answer_round_trip_preserves_all_fields():
    answer = NoticeAnswer(instance="a", incarnation=2**60, sequence=2)
    encoded = encode_message(build_notice_answer(answer), key=KEY)
    decoded = read_notice_answer(decode_message(encoded, key=KEY))
    assert decoded.instance == "a"
    assert decoded.incarnation == 2**60
    assert decoded.sequence == 2


def test_the_digest_covers_the_context():
    hello = Hello(instance="a", data_centre="x", region="y", nonce=b"n")
    encoded = encode_message(build_hello(hello), key=KEY, context=b"1")
    message = decode_message(encoded, key=KEY, context=b"1")
    assert read_hello(message).nonce == b"n"
    with pytest.raises(PeerAuthenticationError):
        decode_message(encoded, key=KEY, context=b"2")


@given(strategies.binary(max_size=200))
def test_an_arbitrary_datagram_is_a_typed_error(datagram):
    with pytest.raises(PeerMessageError):
        decode_message(datagram, key=KEY)


@given(strategies.binary(max_size=400))
@example(b"")
def test_damaged_content_is_a_typed_error(content):
    read_with_typed_errors(sign(content))


@given(strategies.data())
def test_a_corrupted_heartbeat_raises_only_typed_errors(data):
    encoded = encode_message(build_heartbeat(build_full_heartbeat()), key=KEY)
    content = bytearray(encoded[16:])
    for _ in range(data.draw(strategies.integers(1, 4))):
        index = data.draw(strategies.integers(0, len(content) - 1))
        content[index] = data.draw(strategies.integers(0, 255))
    read_with_typed_errors(sign(bytes(content)))


def read_with_typed_errors(datagram):
    for read in READERS:
        try:
            read(decode_message(datagram, key=KEY))
        except PeerMessageError:
            pass
