"""Tests of orders to retire a machine."""

import pytest

from hollyspan_core.store import Entry
from hollyspan_gateway.jobs.worker import Worker


@pytest.fixture
def order(gateway):
    """Return a function that orders a machine to be retired."""
    gateway.worker = Worker(gateway=gateway)

    def send_order(name="g1", seconds=8):
        entry = Entry(
            key=f"retire/{name}",
            content=str(seconds).encode(),
            token=b"",
            revision=1,
            lease=0,
        )
        gateway.retirement.apply_order(entry)

    return send_order


def read_status(wire):
    # The stand-in store treats the first bytes of each value as a token.
    entry = wire.entries.get("status/g1")
    return entry and entry.token + entry.content


def test_a_machine_without_items_is_reported_at_once(order, wire, gateway):
    order()
    assert read_status(wire) == b"done"
    assert gateway.worker.is_stopping
    assert not gateway.describe()["runs_batch"]


def test_an_order_for_another_machine_changes_nothing(order, wire, gateway):
    order("g2")
    assert read_status(wire) is None
    assert not gateway.worker.is_stopping


def test_a_machine_with_items_is_reported_before_the_deadline(
    order, wire, gateway, reactor
):
    gateway.worker.running["item"] = None
    order(seconds=8)
    assert read_status(wire) == b"running"
    reactor.advance(6.9)
    assert read_status(wire) == b"running"
    reactor.advance(0.2)
    assert read_status(wire) == b"done"


def test_an_outage_does_not_lose_the_report(order, wire, reactor):
    wire.is_down = True
    order()
    reactor.pump([0.2] * 20)
    assert read_status(wire) is None
    wire.is_down = False
    reactor.pump([0.2] * 20)
    assert read_status(wire) == b"done"


def test_a_late_first_report_does_not_overwrite_the_last(
    order, wire, gateway, run
):
    order()
    assert read_status(wire) == b"done"
    run(
        gateway.retirement.write_report(
            "g1", is_done=False, is_current=lambda: True
        )
    )
    assert read_status(wire) == b"done"


def test_a_worker_reports_for_a_machine_without_a_gateway(
    order, wire, reactor
):
    order("g7")
    assert "status/g7" not in wire.entries
    reactor.advance(1.0)
    entry = wire.entries["status/g7"]
    assert entry.token + entry.content == b"done"
    calls = len(wire.calls)
    order("g7")
    reactor.advance(1.0)
    assert len(wire.calls) == calls


def test_nobody_reports_for_a_machine_that_has_a_gateway(
    order, gateway, wire, reactor
):
    gateway.peers.add({"g7": ("10.0.0.7", 3)})
    order("g7")
    reactor.advance(1.0)
    assert "status/g7" not in wire.entries
