"""Tests of splitting messages into datagrams."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import build_notice
from hollyspan_core.messages import DaemonState
from hollyspan_core.messages import decode_message
from hollyspan_core.messages import encode_message
from hollyspan_core.messages import Heartbeat
from hollyspan_core.messages import InFlight
from hollyspan_core.messages import Notice
from hollyspan_entry.peers.sent_loads import SentLoads
from hollyspan_entry.peers.sent_loads import ZERO_HEARTBEATS
from hollyspan_entry.peers.split import MAX_DATAGRAM_BYTES
from hollyspan_entry.peers.split import split_heartbeat
from hollyspan_entry.peers.split import split_loads

KEY = b"key"


def build_state(name, *, sequence=1):
    return DaemonState(
        instance=name,
        data_centre="attiki-a",
        region="attiki",
        incarnation=1,
        sequence=sequence,
        leaving=False,
        generation=1,
        peer_address="127.0.0.1",
        peer_port=7001,
        http_port=8080,
        free_slots=0,
    )


@given(strategies.lists(strategies.text(max_size=60), max_size=120))
def test_heartbeat_parts_fit_datagram(names):
    heartbeat = Heartbeat(
        sender=build_state("a"),
        in_flight=[InFlight(upstream=n, online=1, batch=1) for n in names],
        leaving_upstreams=names,
        remotes=[build_state(name) for name in names[:40]],
    )
    parts = split_heartbeat(heartbeat)
    assert [x for p in parts for x in p.leaving_upstreams] == names
    for part in parts:
        encoded = encode_message(build_heartbeat(part), key=KEY)
        assert len(encoded) <= MAX_DATAGRAM_BYTES
        decode_message(encoded, key=KEY)


@given(strategies.lists(strategies.text(max_size=60), max_size=120))
def test_notice_parts_fit_datagram(names):
    loads = [InFlight(upstream=n, online=1, batch=1) for n in names]
    parts = split_loads(loads)
    assert [load for part in parts for load in part] == loads
    for part in parts:
        notice = Notice(
            instance="a", incarnation=1, sequence=1, in_flight=part
        )
        encoded = encode_message(build_notice(notice), key=KEY)
        assert len(encoded) <= MAX_DATAGRAM_BYTES


def test_zeros_are_sent_in_several_heartbeats():
    sent_loads = SentLoads()
    sent_loads.add_zeros("b", [InFlight(upstream="e1", online=1, batch=0)])
    for _ in range(ZERO_HEARTBEATS):
        (load,) = sent_loads.add_zeros("b", [])
        assert load.online == 0
    assert sent_loads.add_zeros("b", []) == []
