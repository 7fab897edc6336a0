"""Tests of heartbeats and notices between two runtimes."""

import time

from hollyspan_core.messages import InFlight
from hollyspan_core.messages import UpstreamLoadReport
from hollyspan_entry.peers.questions import REPEAT_SECONDS


def find_owned(daemon, owner):
    daemon.runtime.owners.refresh()
    for upstream in daemon.runtime.upstreams.by_name.values():
        if daemon.runtime.owners.find(upstream) == owner:
            return upstream
    raise LookupError(owner)


def test_daemons_learn_of_each_other(pair):
    _, first, second = pair
    assert first.runtime.members.members.keys() == {"a", "b"}
    assert second.runtime.members.members.keys() == {"a", "b"}


def test_a_burst_is_told_to_the_owner_in_one_notice(pair):
    network, first, second = pair
    upstream = find_owned(first, "b")
    before = network.delivered
    for _ in range(5):
        first.runtime.upstreams.change_online_in_flight(upstream, 1)
    network.clock.advance(0)
    assert network.delivered == before + 1
    there = second.runtime.upstreams.by_name[upstream.name]
    assert there.count_online() == 5
    # The owner's own listeners run; nothing is sent back.
    network.clock.advance(0)
    assert network.delivered == before + 1


def test_the_owner_answers_a_notice(pair):
    network, first, second = pair
    questions = first.beats.answers.questions
    first.receipts.answer_listeners.append(first.beats.answers.take_answer)
    first.runtime.upstreams.change_online_in_flight(find_owned(first, "b"), 1)
    network.clock.advance(0)
    assert questions.waiting
    second.receipts.notice_listeners.append(second.beats.answers.answer_notice)
    network.clock.advance(REPEAT_SECONDS)
    assert not questions.waiting


def test_a_heartbeat_takes_no_notice_away(pair):
    """The owner must still be asked whether it has heard of the load."""
    network, first, _ = pair
    first.runtime.upstreams.change_online_in_flight(find_owned(first, "b"), 1)
    first.beats.beat_now()
    network.clock.advance(0)
    assert first.beats.answers.questions.waiting


def test_peers_know_the_batch_streams(pair):
    network, first, second = pair
    upstream = first.runtime.upstreams.by_name["e1"]
    upstream.streams = {upstream.assign_batch_stream_number()}
    network.beat()
    known = second.runtime.upstreams.by_name["e1"].peer_streams["a"]
    assert (known.highest, known.running) == (1, [1])
    upstream.streams.clear()
    network.beat()
    assert (known.highest, known.running) == (1, [])


def test_the_end_of_a_load_is_told(pair):
    network, first, second = pair
    upstream = find_owned(first, "b")
    first.runtime.upstreams.change_online_in_flight(upstream, 1)
    network.clock.advance(0)
    first.runtime.upstreams.change_online_in_flight(upstream, -1)
    network.beat()
    assert not second.runtime.upstreams.by_name[upstream.name].peers


def test_a_change_is_told_whoever_owns_the_upstream(pair):
    network, first, second = pair
    upstream = find_owned(first, "a")
    there = second.runtime.upstreams.by_name[upstream.name]
    for _ in range(2):
        first.runtime.upstreams.change_online_in_flight(upstream, 1)
    network.clock.advance(0)
    assert there.count_online() == 2
    first.runtime.upstreams.change_online_in_flight(upstream, -1)
    network.clock.advance(0.05)
    assert there.count_online() == 1


def test_the_load_of_a_silent_peer_is_dropped(pair):
    network, first, second = pair
    upstream = find_owned(first, "b")
    first.runtime.upstreams.change_online_in_flight(upstream, 1)
    network.clock.advance(0)
    second.receipts.drop_silent(now=time.monotonic() + 3.0)
    assert not second.runtime.upstreams.by_name[upstream.name].peers


def test_an_older_message_changes_no_load(pair):
    _, first, second = pair
    loads = [InFlight(upstream="e1", online=3, batch=0)]
    second.receipts.take_loads("c", (1, 5), loads)
    older = [InFlight(upstream="e1", online=0, batch=0)]
    second.receipts.take_loads("c", (1, 4), older)
    assert second.runtime.upstreams.by_name["e1"].peers["c"].online == 3


def test_a_restarted_peer_has_no_load(pair):
    _, _, second = pair
    loads = [InFlight(upstream="e1", online=3, batch=0)]
    second.receipts.take_loads("c", (1, 5), loads)
    second.receipts.take_loads("c", (2, 1), [])
    assert not second.runtime.upstreams.by_name["e1"].peers


def test_a_leaving_upstream_is_passed_on(pair):
    network, first, second = pair
    now = time.monotonic()
    first.runtime.departures.announce("e1", now=now)
    first.runtime.upstreams.mark_leaving("e1")
    network.beat()
    assert second.runtime.upstreams.by_name["e1"].leaving
    assert second.runtime.departures.holds("e1", endpoint="x", now=now)


def test_the_owner_passes_its_reports_on(pair):
    network, first, second = pair
    upstream = find_owned(first, "a")
    upstream.waiting = 3
    upstream.last_report_at = 0.0
    upstream.reachable = False
    network.beat()
    there = second.runtime.upstreams.by_name[upstream.name]
    assert there.waiting == 3
    assert not there.reachable
    # Own polls find it again, whatever the owner goes on to say.
    there.reachable = True
    network.beat()
    assert there.reachable


def test_reports_of_others_than_the_owner_are_passed_over(pair):
    network, first, second = pair
    upstream = find_owned(first, "b")
    report = UpstreamLoadReport(
        upstream=upstream.name, waiting=5, running=1, reachable=False
    )
    second.receipts.take_reports("a", [report], now=0.0)
    there = second.runtime.upstreams.by_name[upstream.name]
    assert there.waiting == 0
    assert there.reachable


def test_a_foreign_datagram_is_counted(pair):
    _, first, _ = pair
    first.datagrams.datagramReceived(b"x" * 40, None)
    assert first.counters.foreign == 1
