"""Gateways that hear each other, or do not."""

import contextlib

import pytest

from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_gateway.peers import table
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import count_heartbeats_per_round

# Heartbeats, and seconds, in which each gateway of a large fleet tells all.
ROUND_BEATS = count_heartbeats_per_round(29)
ROUND_S = 0.3 * ROUND_BEATS


class Net:
    """Carries datagrams between gateways of one test.

    Attributes
    ----------
    cut : set of (int, int)
        Ports of sender and receiver between which nothing passes.
    carried : list of (int, int)
        Ports of sender and receiver of each datagram.
    """

    def __init__(self):
        self.gateways = {}
        self.cut = set()
        self.carried = []

    def join(self, gateway, port):
        self.gateways[port] = gateway
        gateway.peers.transport = Transport(net=self, port=port)


class Transport:
    """The socket of one gateway."""

    def __init__(self, *, net, port):
        self.net = net
        self.port = port

    def write(self, datagram, address):
        if (self.port, address[1]) in self.net.cut:
            return
        self.net.carried.append((self.port, address[1]))
        target = self.net.gateways.get(address[1])
        if target is not None:
            target.peers.datagramReceived(datagram, ("10.0.0.1", self.port))


@pytest.fixture
def net():
    return Net()


@pytest.fixture
def fleet(build_gateway, net):
    """Three gateways that run items and one that does not."""
    gateways = []
    for port, name in enumerate(("w1", "w2", "w3", "f1"), 1):
        gateway = build_gateway(name=name)
        net.join(gateway, port)
        gateways.append(gateway)
    for gateway in gateways[:3]:
        gateway.worker = Runner()
    for gateway in gateways:
        for port, name in enumerate(("w1", "w2", "w3", "f1"), 1):
            gateway.peers.add(name, ("10.0.0.1", port))
    return gateways


class Runner:
    """What a gateway asks of its worker."""

    is_stopping = False

    def __init__(self):
        self.running = {}
        self.rechecks = 0

    def make_room(self, upstream):
        """Nothing runs here."""

    def recheck(self):
        self.rechecks += 1

    def schedule(self, seconds):
        """Nothing runs here."""


def beat(fleet, reactor, seconds):
    for _ in range(round(seconds / 0.3)):
        reactor.advance(0.3)
        for gateway in fleet:
            gateway.peers.beat()


def test_all_agree_on_who_runs_items(fleet, reactor):
    beat(fleet, reactor, 0.6)
    views = [sorted(gateway.list_workers()) for gateway in fleet[:3]]
    assert views[0] == views[1] == views[2]
    assert len(views[0]) == 3


def test_a_gateway_is_named_alike_before_it_is_listed(
    build_gateway, net, reactor
):
    early, late = build_gateway(name="a"), build_gateway(name="b")
    net.join(early, 1)
    net.join(late, 2)
    # Only the late one knows the other from the store.
    late.peers.add("a", ("10.0.0.1", 1))
    (peer,) = early.peers.list_live()
    assert peer.identifier == late.peers.identifier


def test_a_silent_gateway_is_lost_and_its_load_forgotten(fleet, net, reactor):
    first, second = fleet[0], fleet[1]
    upstream = second.directory.upstreams["u1"]
    with second.batch_placement.hold(upstream):
        beat(fleet, reactor, 0.6)
        assert first.directory.upstreams["u1"].count_batch() == 1
        beat([fleet[0], fleet[2], fleet[3]], reactor, 1.5)
    assert len(first.list_workers()) == 2
    assert first.directory.upstreams["u1"].count_batch() == 0


def test_two_workers_that_are_cut_off_from_each_other_stay_alive(
    fleet, net, reactor
):
    beat(fleet, reactor, 0.6)
    net.cut |= {(1, 2), (2, 1), (1, 3), (3, 1)}
    beat(fleet, reactor, 3.0)
    assert len(fleet[0].list_workers()) == 3
    assert len(fleet[1].list_workers()) == 3
    assert len(fleet[0].peers.list_live()) == 1


def test_a_worker_that_no_one_hears_is_lost(fleet, net, reactor):
    beat(fleet, reactor, 0.6)
    net.cut |= {(1, 2), (1, 3), (1, 4)}
    beat(fleet, reactor, 3.0)
    assert len(fleet[1].list_workers()) == 2


def test_only_a_change_of_the_workers_makes_results_be_read_again(
    fleet, reactor
):
    beat(fleet, reactor, 0.6)
    runner = fleet[0].worker
    before = runner.rechecks
    beat(fleet[:3], reactor, 1.8)
    assert len(fleet[0].peers.list_live()) == 2
    assert runner.rechecks == before
    beat(fleet[:2], reactor, 1.8)
    assert runner.rechecks == before + 1
    beat(fleet[:3], reactor, 0.6)
    assert runner.rechecks == before + 2


def test_load_is_told_within_moments(fleet, reactor):
    beat(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    with fleet[3].placement.hold_online(upstream):
        reactor.advance(0.02)
        assert fleet[0].directory.upstreams["u1"].count_online() == 1
    reactor.advance(0.02)
    assert fleet[0].directory.upstreams["u1"].count_online() == 0


def test_a_report_of_an_upstream_reaches_all(fleet, reactor, helpers):
    beat(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    reply = fleet[3].dialect.decode_reply(200, [(b"load", b"8,4,8")])
    fleet[3].placement.note_reply(upstream, reply)
    reactor.advance(0.02)
    assert fleet[0].directory.upstreams["u1"].hidden == 8 + 4 - 1


def test_word_of_a_dark_upstream_reaches_all(fleet, reactor):
    beat(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    fleet[3].placement.note_failure(
        upstream, UpstreamUnreachableError("no connection")
    )
    reactor.advance(0.02)
    suspect = fleet[0].directory.upstreams["u1"].suspect_until
    assert suspect > reactor.seconds()


def test_messages_that_come_late_change_nothing(fleet, reactor):
    beat(fleet, reactor, 0.6)
    (peer,) = [
        peer
        for peer in fleet[0].peers.list_live()
        if peer.key == hash_parts("f1")
    ]
    newest = peer.sequence
    message = fleet[3].peers.build_message(loads=[], is_full=False)
    assert peer.take(message, now=0.0)
    message.sequence = newest
    assert not peer.take(message, now=0.0)


@pytest.fixture
def large_fleet(build_gateway, net):
    """Fifteen gateways near the upstreams and fifteen in another region."""
    places = ["a"] * 15 + ["far"] * 15
    gateways = []
    for port, place in enumerate(places, 1):
        gateway = build_gateway(name=f"g{port}", data_centre=place)
        net.join(gateway, port)
        gateways.append(gateway)
    for gateway in gateways:
        for port in range(1, len(places) + 1):
            gateway.peers.add(f"g{port}", ("10.0.0.1", port))
    return gateways


@pytest.fixture
def large_workers(build_gateway, net):
    """Thirty gateways, of which the first three run items."""
    gateways = []
    for port in range(1, 31):
        gateway = build_gateway(name=f"g{port}", runs_batch=port <= 3)
        net.join(gateway, port)
        gateways.append(gateway)
    for gateway in gateways[:3]:
        gateway.worker = Runner()
    for gateway in gateways:
        for port in range(1, 31):
            gateway.peers.add(f"g{port}", ("10.0.0.1", port))
    return gateways


def count_told(gateways):
    """Count the gateways that know of an online request at an upstream."""
    return sum(
        gateway.directory.upstreams["u1"].told_online > 0
        for gateway in gateways
    )


def test_a_large_fleet_tells_those_near_the_upstream(large_fleet, reactor):
    beat(large_fleet, reactor, 0.9)
    sender, near, far = large_fleet[0], large_fleet[1:15], large_fleet[15:]
    holder = far[0]
    with holder.batch_placement.hold(holder.directory.upstreams["u1"]):
        beat(large_fleet, reactor, 0.3)
        with sender.placement.hold_online(sender.directory.upstreams["u1"]):
            reactor.advance(0.03)
            assert count_told(near) == len(near)
            assert count_told(far) == count_told([holder]) == 1
            beat(large_fleet, reactor, ROUND_S)
            assert count_told(far) == len(far)


def test_a_large_fleet_tells_batch_work_to_those_that_run_some(
    large_fleet, reactor
):
    large_fleet[1].worker = Runner()
    beat(large_fleet, reactor, 0.9)
    upstreams = [each.directory.upstreams["u1"] for each in large_fleet]
    with large_fleet[0].batch_placement.hold(upstreams[0]):
        reactor.advance(0.03)
        assert [each.told_batch for each in upstreams[1:4]] == [1, 0, 0]
        beat(large_fleet, reactor, ROUND_S)
        assert all(each.told_batch for each in upstreams[1:])


def test_batch_work_from_another_region_is_told_to_the_fronts_there(
    large_fleet, reactor
):
    """They do not tell its worker of online requests until they know of it."""
    beat(large_fleet, reactor, 0.9)
    near, far = large_fleet[:15], large_fleet[15:]
    upstream = far[0].directory.upstreams["u1"]
    with far[0].batch_placement.hold(upstream):
        reactor.advance(0.03)
        known = [each.directory.upstreams["u1"].told_batch for each in near]
        assert known == [1] * len(near)
        with near[0].placement.hold_online(near[0].directory.upstreams["u1"]):
            reactor.advance(0.03)
            assert upstream.told_online == 1


def test_heartbeats_of_a_large_fleet_are_rarer(large_fleet, reactor):
    beat(large_fleet, reactor, 0.9)
    peer, *_ = large_fleet[0].peers.list_live()
    beat_seconds = 0.3 * 29 / 24 * ROUND_BEATS
    assert peer.beat_seconds == pytest.approx(beat_seconds, abs=0.001)
    # Three such heartbeats may be missed.
    beat(large_fleet[:1], reactor, 3 * beat_seconds - ROUND_S)
    assert len(large_fleet[0].peers.list_live()) == 29
    beat(large_fleet[:1], reactor, ROUND_S + 0.3)
    assert large_fleet[0].peers.list_live() == []


def test_a_heartbeat_of_a_large_fleet_goes_to_a_part_of_it(
    large_fleet, reactor, net
):
    beat(large_fleet, reactor, ROUND_S)
    net.carried.clear()
    beat(large_fleet, reactor, ROUND_S)
    pairs = [
        (sender, target)
        for sender in range(1, 31)
        for target in range(1, 31)
        if sender != target
    ]
    assert sorted(net.carried) == pairs


def test_workers_of_a_large_fleet_hear_each_other_each_time(
    large_workers, reactor, net
):
    beat(large_workers, reactor, ROUND_S)
    net.carried.clear()
    beat(large_workers, reactor, 0.3)
    assert {(1, 2), (2, 1), (1, 3), (3, 1)} <= set(net.carried)
    first, second = (gateway.peers for gateway in large_workers[:2])
    assert first.peers[second.key].beat_seconds == pytest.approx(
        0.3625, abs=0.001
    )


def test_a_lost_worker_of_a_large_fleet_is_noticed_as_soon(
    large_workers, reactor
):
    """Fronts hear workers seldom and do not keep a lost one alive."""
    beat(large_workers, reactor, ROUND_S)
    second = large_workers[1].peers.identifier
    rest = [large_workers[0], *large_workers[2:]]
    beat(rest, reactor, 0.9)
    assert second in large_workers[0].list_workers()
    beat(rest, reactor, 0.6)
    assert second not in large_workers[0].list_workers()


def test_nobody_is_lost_while_a_fleet_grows(build_gateway, net, reactor):
    gateways = []
    for port in range(1, 31):
        gateway = build_gateway(name=f"g{port}")
        net.join(gateway, port)
        gateways.append(gateway)
    seen = set()
    for count in (10, 20, 26, 30):
        for gateway in gateways[:count]:
            for port in range(1, count + 1):
                gateway.peers.add(f"g{port}", ("10.0.0.1", port))
        for _ in range(6):
            beat(gateways[:count], reactor, 0.3)
            seen.add((count, len(gateways[0].peers.list_live())))
    assert seen == {(10, 9), (20, 19), (26, 25), (30, 29)}


def test_other_regions_are_told_the_load_of_all_gateways(large_fleet, reactor):
    beat(large_fleet, reactor, ROUND_S)
    near, far = large_fleet[:15], large_fleet[15:]
    with contextlib.ExitStack() as stack:
        for gateway in near[:6]:
            upstream = gateway.directory.upstreams["u1"]
            stack.enter_context(gateway.placement.hold_online(upstream))
        reactor.advance(0.03)
        beat(large_fleet, reactor, 0.3)
        # One heartbeat of fifteen gateways reaches each of the others.
        for gateway in far:
            upstream = gateway.directory.upstreams["u1"]
            assert upstream.total == (6, 0)
            view = gateway.placement.build_view(upstream, reactor.seconds())
            assert view.online == 6


def test_loads_of_many_upstreams_are_told_in_turn(build_gateway, monkeypatch):
    monkeypatch.setattr(table, "MOST_TOTALS", 2)
    gateway = build_gateway(upstreams=("u1", "u2", "u3"))
    told = []
    for _ in range(3):
        gateway.peers.beats += 1
        told += [total.upstream for total in gateway.peers.choose_totals()]
    assert len(told) == 6
    assert len(set(told)) == 3


def test_a_small_fleet_tells_no_totals(fleet, reactor):
    beat(fleet, reactor, 0.6)
    upstream = fleet[0].directory.upstreams["u1"]
    with fleet[0].placement.hold_online(upstream):
        beat(fleet, reactor, 0.3)
    assert all(
        not gateway.directory.upstreams["u1"].has_total(now=reactor.seconds())
        for gateway in fleet
    )


def test_a_gateway_that_stops_tells_all_at_once(large_fleet, reactor):
    beat(large_fleet, reactor, ROUND_S)
    large_fleet[0].drain()
    key = large_fleet[0].peers.key
    assert all(
        gateway.peers.peers[key].is_leaving for gateway in large_fleet[1:]
    )


def test_a_message_changes_only_what_it_names(fleet, reactor):
    beat(fleet, reactor, 0.6)
    (peer,) = [
        peer
        for peer in fleet[0].peers.list_live()
        if peer.key == hash_parts("f1")
    ]
    upstream = fleet[3].directory.upstreams["u1"]
    with fleet[3].placement.hold_online(upstream):
        load = fleet[3].peers.build_message(loads=[], is_full=False)
        change = peer.take(load, now=reactor.seconds())
        assert change.upstreams == set()
        assert not change.is_member_news
        fleet[3].drain()
        fleet[3].peers.beat()
    # The full message told that the sender leaves, and the load.
    assert fleet[0].directory.upstreams["u1"].told_online == 1
    assert peer.is_leaving
