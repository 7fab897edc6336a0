"""Tests of messages and failure detection between gateways."""

import contextlib

import pytest

from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_gateway.intake import MAX_UNREGISTERED_PEERS
from hollyspan_gateway.peers import encode_message
from hollyspan_gateway.peers import FleetMessage
from hollyspan_gateway.peers import Peer
from hollyspan_gateway.peers import table
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import count_heartbeats_per_round
from hollyspan_standins.memory import MemoryNetwork

# A gateway of a fleet of thirty sends each peer a heartbeat once in a round.
HEARTBEATS_PER_ROUND = count_heartbeats_per_round(29)
ROUND_S = 0.3 * HEARTBEATS_PER_ROUND


@pytest.fixture
def network():
    return MemoryNetwork()


@pytest.fixture
def fleet(build_gateway, network):
    """Three gateways that run items and one that does not."""
    gateways = []
    for port, name in enumerate(("w1", "w2", "w3", "f1"), 1):
        gateway = build_gateway(name=name)
        network.join(gateway, port)
        gateways.append(gateway)
    for gateway in gateways[:3]:
        gateway.worker = IdleWorker()
    for gateway in gateways:
        for port, name in enumerate(("w1", "w2", "w3", "f1"), 1):
            gateway.peers.add({name: ("10.0.0.1", port)})
    return gateways


class IdleWorker:
    """Stand-in for a worker that counts the requests to reread results."""

    is_stopping = False

    def __init__(self):
        self.running = {}
        self.reread_count = 0

    def describe(self):
        """Tell of no items."""
        return {}

    def preempt_items(self, upstream):
        """Do nothing, since no item runs."""

    def reread_results(self):
        self.reread_count += 1

    def schedule(self, seconds):
        """Do nothing, since no item runs."""


def run_heartbeats(fleet, reactor, seconds):
    for _ in range(round(seconds / 0.3)):
        reactor.advance(0.3)
        for gateway in fleet:
            gateway.peers.send_heartbeat()


def test_all_gateways_agree_on_the_workers(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    worker_lists = [sorted(gateway.list_workers()) for gateway in fleet[:3]]
    assert worker_lists[0] == worker_lists[1] == worker_lists[2]
    assert len(worker_lists[0]) == 3


def test_identifier_of_an_unlisted_gateway_matches(
    build_gateway, network, reactor
):
    first, second = build_gateway(name="a"), build_gateway(name="b")
    network.join(first, 1)
    network.join(second, 2)
    # Only the second gateway has read the other's registration.
    second.peers.add({"a": ("10.0.0.1", 1)})
    (peer,) = first.peers.list_live()
    assert peer.identifier == second.peers.identifier


def test_silent_gateway_fails_and_its_load_is_dropped(fleet, network, reactor):
    first, second = fleet[0], fleet[1]
    upstream = second.directory.upstreams["u1"]
    with second.batch_placement.track(upstream):
        run_heartbeats(fleet, reactor, 0.6)
        assert first.directory.upstreams["u1"].count_batch() == 1
        run_heartbeats([fleet[0], fleet[2], fleet[3]], reactor, 1.5)
    assert len(first.list_workers()) == 2
    assert first.directory.upstreams["u1"].count_batch() == 0


def test_workers_partitioned_from_each_other_stay_live(
    fleet, network, reactor
):
    run_heartbeats(fleet, reactor, 0.6)
    network.blocked |= {(1, 2), (2, 1), (1, 3), (3, 1)}
    run_heartbeats(fleet, reactor, 3.0)
    assert len(fleet[0].list_workers()) == 3
    assert len(fleet[1].list_workers()) == 3
    assert len(fleet[0].peers.list_live()) == 1


def test_worker_unreachable_from_all_fails(fleet, network, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    network.blocked |= {(1, 2), (1, 3), (1, 4)}
    run_heartbeats(fleet, reactor, 3.0)
    assert len(fleet[1].list_workers()) == 2


def test_results_are_reread_only_when_the_workers_change(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    worker = fleet[0].worker
    before = worker.reread_count
    run_heartbeats(fleet[:3], reactor, 1.8)
    assert len(fleet[0].peers.list_live()) == 2
    assert worker.reread_count == before
    run_heartbeats(fleet[:2], reactor, 1.8)
    assert worker.reread_count == before + 1
    run_heartbeats(fleet[:3], reactor, 0.6)
    assert worker.reread_count == before + 2


def test_load_change_is_broadcast_promptly(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    with fleet[3].placement.track_online(upstream):
        reactor.advance(0.02)
        assert fleet[0].directory.upstreams["u1"].count_online() == 1
    reactor.advance(0.02)
    assert fleet[0].directory.upstreams["u1"].count_online() == 0


def test_reported_load_reaches_all_gateways(fleet, reactor, helpers):
    run_heartbeats(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    reply = fleet[3].dialect.decode_reply(200, [(b"load", b"8,4,8")])
    fleet[3].placement.note_reply(upstream, reply)
    reactor.advance(0.02)
    assert fleet[0].directory.upstreams["u1"].hidden == 8 + 4 - 1


def test_speeds_reach_all_gateways(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    reply = fleet[3].dialect.decode_reply(200, [(b"load", b"1,0,8,2.5")])
    fleet[3].placement.note_reply(upstream, reply)
    for _ in range(20):
        fleet[3].placement.speeds.note_run(
            upstream, kind="r", seconds=1.0, events=10
        )
    reactor.advance(0.02)
    for gateway in fleet:
        speed = gateway.directory.upstreams["u1"].speed
        assert speed.recent == 2.5
        assert speed.runs > 0


def test_unreachable_upstream_becomes_suspect_at_all_gateways(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    upstream = fleet[3].directory.upstreams["u1"]
    fleet[3].placement.note_failure(
        upstream,
        UpstreamUnreachableError("no connection"),
        waited_since=reactor.seconds(),
    )
    reactor.advance(0.02)
    suspect = fleet[0].directory.upstreams["u1"]
    assert suspect.is_suspect(now=reactor.seconds())


def test_reordered_messages_are_ignored(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    (peer,) = [
        peer
        for peer in fleet[0].peers.list_live()
        if peer.key == hash_parts("f1")
    ]
    newest_sequence = peer.sequence
    message = fleet[3].peers.build_message(loads=[], is_full=False)
    assert peer.apply(message, now=0.0)
    message.sequence = newest_sequence
    assert not peer.apply(message, now=0.0)


@pytest.fixture
def large_fleet(build_gateway, network):
    """Fifteen gateways in the region of the upstreams, fifteen in another."""
    data_centres = ["a"] * 15 + ["far"] * 15
    gateways = []
    for port, data_centre in enumerate(data_centres, 1):
        gateway = build_gateway(name=f"g{port}", data_centre=data_centre)
        network.join(gateway, port)
        gateways.append(gateway)
    for gateway in gateways:
        for port in range(1, len(data_centres) + 1):
            gateway.peers.add({f"g{port}": ("10.0.0.1", port)})
    return gateways


@pytest.fixture
def large_workers(build_gateway, network):
    """Thirty gateways, of which the first three run items."""
    gateways = []
    for port in range(1, 31):
        gateway = build_gateway(name=f"g{port}", runs_batch=port <= 3)
        network.join(gateway, port)
        gateways.append(gateway)
    for gateway in gateways[:3]:
        gateway.worker = IdleWorker()
    for gateway in gateways:
        for port in range(1, 31):
            gateway.peers.add({f"g{port}": ("10.0.0.1", port)})
    return gateways


def count_informed(gateways):
    """Count the gateways informed of online load at an upstream."""
    return sum(
        gateway.directory.upstreams["u1"].peer_online > 0
        for gateway in gateways
    )


def test_large_fleet_sends_load_to_the_region_of_the_upstream(
    large_fleet, reactor
):
    run_heartbeats(large_fleet, reactor, 0.9)
    sender, same_region, other_region = (
        large_fleet[0],
        large_fleet[1:15],
        large_fleet[15:],
    )
    holder = other_region[0]
    with holder.batch_placement.track(holder.directory.upstreams["u1"]):
        run_heartbeats(large_fleet, reactor, 0.3)
        with sender.placement.track_online(sender.directory.upstreams["u1"]):
            reactor.advance(0.03)
            assert count_informed(same_region) == len(same_region)
            assert (
                count_informed(other_region) == count_informed([holder]) == 1
            )
            run_heartbeats(large_fleet, reactor, ROUND_S)
            assert count_informed(other_region) == len(other_region)


def test_large_fleet_sends_batch_load_to_workers_first(large_fleet, reactor):
    large_fleet[1].worker = IdleWorker()
    run_heartbeats(large_fleet, reactor, 0.9)
    upstreams = [each.directory.upstreams["u1"] for each in large_fleet]
    with large_fleet[0].batch_placement.track(upstreams[0]):
        reactor.advance(0.03)
        assert [each.peer_batch for each in upstreams[1:4]] == [1, 0, 0]
        run_heartbeats(large_fleet, reactor, ROUND_S)
        assert all(each.peer_batch for each in upstreams[1:])


def test_batch_load_from_another_region_reaches_gateways_of_the_upstream(
    large_fleet, reactor
):
    """Otherwise they would not send their online load to its worker."""
    run_heartbeats(large_fleet, reactor, 0.9)
    same_region, other_region = large_fleet[:15], large_fleet[15:]
    upstream = other_region[0].directory.upstreams["u1"]
    with other_region[0].batch_placement.track(upstream):
        reactor.advance(0.03)
        batch_loads = [
            each.directory.upstreams["u1"].peer_batch for each in same_region
        ]
        assert batch_loads == [1] * len(same_region)
        with same_region[0].placement.track_online(
            same_region[0].directory.upstreams["u1"]
        ):
            reactor.advance(0.03)
            assert upstream.peer_online == 1


def test_heartbeat_interval_grows_with_the_fleet(large_fleet, reactor):
    run_heartbeats(large_fleet, reactor, 0.9)
    peer, *_ = large_fleet[0].peers.list_live()
    heartbeat_seconds = 0.3 * 29 / 24 * HEARTBEATS_PER_ROUND
    assert peer.heartbeat_seconds == pytest.approx(
        heartbeat_seconds, abs=0.001
    )
    # A peer fails only after three missed heartbeats.
    run_heartbeats(large_fleet[:1], reactor, 3 * heartbeat_seconds - ROUND_S)
    assert len(large_fleet[0].peers.list_live()) == 29
    run_heartbeats(large_fleet[:1], reactor, ROUND_S + 0.3)
    assert large_fleet[0].peers.list_live() == []


def test_heartbeats_of_a_large_fleet_rotate_over_recipients(
    large_fleet, reactor, network
):
    run_heartbeats(large_fleet, reactor, ROUND_S)
    network.delivered.clear()
    run_heartbeats(large_fleet, reactor, ROUND_S)
    pairs = [
        (sender, target)
        for sender in range(1, 31)
        for target in range(1, 31)
        if sender != target
    ]
    assert sorted(network.delivered) == pairs


def test_workers_of_a_large_fleet_get_every_heartbeat_of_each_other(
    large_workers, reactor, network
):
    run_heartbeats(large_workers, reactor, ROUND_S)
    network.delivered.clear()
    run_heartbeats(large_workers, reactor, 0.3)
    assert {(1, 2), (2, 1), (1, 3), (3, 1)} <= set(network.delivered)
    first, second = (gateway.peers for gateway in large_workers[:2])
    assert first.peers[second.key].heartbeat_seconds == pytest.approx(
        0.3625, abs=0.001
    )


def test_failed_worker_of_a_large_fleet_is_detected_in_time(
    large_workers, reactor
):
    """Rare heartbeats to gateways without items do not keep a worker live."""
    run_heartbeats(large_workers, reactor, ROUND_S)
    second = large_workers[1].peers.identifier
    rest = [large_workers[0], *large_workers[2:]]
    run_heartbeats(rest, reactor, 0.9)
    assert second in large_workers[0].list_workers()
    run_heartbeats(rest, reactor, 0.6)
    assert second not in large_workers[0].list_workers()


def test_no_gateway_fails_while_the_fleet_grows(
    build_gateway, network, reactor
):
    gateways = []
    for port in range(1, 31):
        gateway = build_gateway(name=f"g{port}")
        network.join(gateway, port)
        gateways.append(gateway)
    live_counts = set()
    for count in (10, 20, 26, 30):
        for gateway in gateways[:count]:
            for port in range(1, count + 1):
                gateway.peers.add({f"g{port}": ("10.0.0.1", port)})
        for _ in range(6):
            run_heartbeats(gateways[:count], reactor, 0.3)
            live_counts.add((count, len(gateways[0].peers.list_live())))
    assert live_counts == {(10, 9), (20, 19), (26, 25), (30, 29)}


def test_other_regions_receive_the_total_load(large_fleet, reactor):
    run_heartbeats(large_fleet, reactor, ROUND_S)
    same_region, other_region = large_fleet[:15], large_fleet[15:]
    with contextlib.ExitStack() as stack:
        for gateway in same_region[:6]:
            upstream = gateway.directory.upstreams["u1"]
            stack.enter_context(gateway.placement.track_online(upstream))
        reactor.advance(0.03)
        run_heartbeats(large_fleet, reactor, 0.3)
        # A heartbeat of at least one of the fifteen gateways reaches each
        # gateway of the other region.
        for gateway in other_region:
            upstream = gateway.directory.upstreams["u1"]
            assert upstream.region_total == (6, 0)
            view = gateway.placement.build_view(upstream, reactor.seconds())
            assert view.online == 6


def test_totals_of_many_upstreams_rotate_over_messages(
    build_gateway, monkeypatch
):
    monkeypatch.setattr(table, "MAX_TOTALS_PER_MESSAGE", 2)
    gateway = build_gateway(upstreams=("u1", "u2", "u3"))
    sent_totals = []
    for _ in range(3):
        gateway.peers.heartbeat_count += 1
        sent_totals += [
            region_total.upstream
            for region_total in gateway.peers.choose_totals()
        ]
    assert len(sent_totals) == 6
    assert len(set(sent_totals)) == 3


def test_small_fleet_sends_no_totals(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    upstream = fleet[0].directory.upstreams["u1"]
    with fleet[0].placement.track_online(upstream):
        run_heartbeats(fleet, reactor, 0.3)
    assert all(
        not gateway.directory.upstreams["u1"].has_region_total(
            now=reactor.seconds()
        )
        for gateway in fleet
    )


def test_draining_gateway_notifies_all_peers(large_fleet, reactor):
    run_heartbeats(large_fleet, reactor, ROUND_S)
    large_fleet[0].drain()
    key = large_fleet[0].peers.key
    assert all(
        gateway.peers.peers[key].is_leaving for gateway in large_fleet[1:]
    )


def test_message_changes_only_the_loads_it_names(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    (peer,) = [
        peer
        for peer in fleet[0].peers.list_live()
        if peer.key == hash_parts("f1")
    ]
    upstream = fleet[3].directory.upstreams["u1"]
    with fleet[3].placement.track_online(upstream):
        load = fleet[3].peers.build_message(loads=[], is_full=False)
        change = peer.apply(load, now=reactor.seconds())
        assert change.upstreams == set()
        assert not change.is_membership_change
        fleet[3].drain()
        fleet[3].peers.send_heartbeat()
    # The full message carried the load and the state of the sender.
    assert fleet[0].directory.upstreams["u1"].peer_online == 1
    assert peer.is_leaving


def note_departure(gateway, name):
    reply = gateway.dialect.decode_reply(200, [(b"leaving", b"1")])
    gateway.placement.note_reply(gateway.directory.upstreams[name], reply)


def list_usable_names(gateway):
    return [each.entry.name for each in gateway.directory.list_usable("m")]


def test_a_departure_reaches_peers_with_the_change_of_load(fleet, reactor):
    note_departure(fleet[3], "u1")
    reactor.advance(0.02)
    assert [list_usable_names(each) for each in fleet] == [["u2"]] * 4


def test_a_departure_reaches_peers_with_heartbeats_when_changes_are_lost(
    fleet, network, reactor
):
    network.blocked = {(4, port) for port in (1, 2, 3)}
    note_departure(fleet[3], "u1")
    reactor.advance(0.02)
    assert list_usable_names(fleet[0]) == ["u1", "u2"]
    # Heard by one peer, which passes it on to the others.
    network.blocked = {(4, 2), (4, 3)}
    for gateway in (fleet[3], fleet[0]):
        gateway.peers.send_heartbeat()
    assert [list_usable_names(each) for each in fleet] == [["u2"]] * 4


def test_a_restarted_gateway_is_informed_by_few_messages(
    large_fleet, network, reactor, monkeypatch
):
    reactor.advance(0.3)
    restarted, *others = large_fleet
    restarted.peers.peers.clear()
    restarted.peers.incarnation += 1
    network.delivered.clear()
    encoded = []
    encode = table.encode_message

    def record(message):
        encoded.append(message.sender)
        return encode(message)

    monkeypatch.setattr(table, "encode_message", record)
    restarted.peers.add(
        {f"g{port}": ("10.0.0.1", port) for port in range(1, 31)}
    )
    reactor.advance(0.2)
    assert len(restarted.peers.list_live()) == len(others)
    assert encoded.count(restarted.peers.key) == 1
    # Each peer sends the full message that was asked for.
    received = [target for _, target in network.delivered if target == 1]
    assert len(received) == len(others)


def test_a_zone_that_restarts_leads_to_one_check_and_one_reply(
    large_fleet, reactor, monkeypatch
):
    reactor.advance(0.3)
    first, *others = large_fleet
    checks, encoded = [], []
    first.peers.on_membership = lambda: checks.append(reactor.seconds())
    encode = table.encode_message

    def record(message):
        encoded.append(message.sender)
        return encode(message)

    monkeypatch.setattr(table, "encode_message", record)
    for peer in list(first.peers.peers.values())[:10]:
        peer.last_seen = None
    first.peers.check_membership()
    for other in others[:10]:
        other.peers.incarnation += 1
        other.peers.peers.pop(first.peers.key)
        other.peers.add({"g1": ("10.0.0.1", 1)})
    reactor.advance(0.2)
    assert len(first.peers.list_live()) == len(others)
    assert len(checks) == 2
    # Peers of the other region receive the totals too, in a second message.
    assert encoded.count(first.peers.key) <= 2


def build_datagram(sender, **fields):
    return encode_message(
        FleetMessage(
            sender=sender,
            incarnation=1,
            sequence=1,
            is_full=True,
            loads=[],
            **fields,
        )
    )


# Failure: each sender in a datagram was remembered for good, and greeted.
def test_a_bounded_number_of_unregistered_senders_is_remembered(
    build_gateway, network, reactor
):
    gateway = build_gateway(name="a")
    network.join(gateway, 1)
    gateway.peers.add({"b": ("10.0.0.1", 2)})
    for sender in range(1000, 2000):
        gateway.peers.datagramReceived(
            build_datagram(sender), ("10.9.0.1", sender)
        )
    assert len(gateway.peers.peers) <= 1 + MAX_UNREGISTERED_PEERS
    reactor.advance(60.0)
    gateway.peers.datagramReceived(build_datagram(7), ("10.9.0.1", 1))
    assert 7 in gateway.peers.peers
    assert gateway.peers.is_known("b")
    assert len(gateway.peers.peers) <= 1 + MAX_UNREGISTERED_PEERS


# Failure: datagrams that cannot be decoded were read, and logged, without end.
def test_datagrams_of_one_address_are_read_at_a_bounded_rate(
    build_gateway, network, reactor, monkeypatch
):
    gateway = build_gateway(name="a")
    network.join(gateway, 1)
    decoded = []
    decode = table.decode_message

    def count(datagram):
        decoded.append(datagram)
        return decode(datagram)

    monkeypatch.setattr(table, "decode_message", count)
    for number in range(20_000):
        gateway.peers.datagramReceived(b"garbage", ("10.9.0.1", number))
    assert len(decoded) < 2000
    decoded.clear()
    gateway.peers.datagramReceived(build_datagram(8), ("10.0.0.1", 5))
    assert len(decoded) == 1
    assert 8 in gateway.peers.peers


def test_garbage_is_logged_now_and_then(
    build_gateway, network, reactor, monkeypatch
):
    gateway = build_gateway(name="a")
    network.join(gateway, 1)
    lines = []
    monkeypatch.setattr(
        "hollyspan_gateway.intake.served.eliot.log_message",
        lambda message, **fields: lines.append((message, fields["count"])),
    )
    for _ in range(50):
        gateway.peers.datagramReceived(b"garbage", ("10.9.0.1", 1))
    reactor.advance(10.0)
    gateway.peers.datagramReceived(b"garbage", ("10.9.0.1", 1))
    found = [each for each in lines if each[0] == "peer:malformed"]
    assert found == [("peer:malformed", 1), ("peer:malformed", 50)]


class NamedWorkers:
    """Set of keys that counts how often it is read."""

    def __init__(self, keys):
        self.keys = keys
        self.reads = 0

    def __iter__(self):
        self.reads += 1
        return iter(self.keys)

    def __contains__(self, key):
        self.reads += 1
        return key in self.keys


# Failure: each round of starts of items gathered what all gateways name as
# live, which grows with the square of the fleet.
def test_live_workers_are_listed_without_what_others_name(fleet, reactor):
    run_heartbeats(fleet, reactor, 0.6)
    gateway = fleet[0]
    peers = list(gateway.peers.peers.values())
    named = [NamedWorkers(peer.live_workers) for peer in peers]
    for peer, workers in zip(peers, named):
        peer.live_workers = workers
    assert len(gateway.peers.list_workers()) == 2
    assert sum(workers.reads for workers in named) == 0
    silent = next(peer for peer in peers if peer.runs_batch)
    silent.last_seen = None
    assert silent in gateway.peers.list_workers()


# Failure: each change of load computed the role of its sender twice, which
# only full messages tell.
def test_a_change_of_load_computes_no_role(fleet, reactor, monkeypatch):
    run_heartbeats(fleet, reactor, 0.6)
    computed = []
    monkeypatch.setattr(
        Peer, "get_role", lambda peer: computed.append(peer) or ()
    )
    upstream = fleet[0].directory.upstreams["u1"]
    with fleet[0].placement.track_online(upstream):
        reactor.advance(0.05)
    assert fleet[1].directory.upstreams["u1"].peer_online == 1
    assert computed == []
