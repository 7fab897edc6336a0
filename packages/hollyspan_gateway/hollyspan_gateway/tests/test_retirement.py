"""Orders to empty a machine."""

import pytest

from hollyspan_core.store import Entry
from hollyspan_gateway.jobs.worker import Worker


@pytest.fixture
def order(gateway):
    """Return a function that orders a machine to be emptied."""
    gateway.worker = Worker(gateway=gateway)

    def give(name="g1", seconds=8):
        entry = Entry(
            key=f"retire/{name}",
            content=str(seconds).encode(),
            token=b"",
            revision=1,
            lease=0,
        )
        gateway.retirement.take_order(entry)

    return give


def read_status(wire):
    # The stand-in takes the first bytes of each value for a token.
    entry = wire.entries.get("status/g1")
    return entry and entry.token + entry.content


def test_an_empty_machine_is_reported_at_once(order, wire, gateway):
    order()
    assert read_status(wire) == b"done"
    assert gateway.worker.is_stopping
    assert not gateway.describe()["runs_batch"]


def test_an_order_for_another_machine_changes_nothing(order, wire, gateway):
    order("g2")
    assert read_status(wire) is None
    assert not gateway.worker.is_stopping


def test_a_machine_with_items_is_reported_before_the_time_is_over(
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


def test_a_first_report_that_comes_late_does_not_replace_the_last(
    order, wire, gateway, run
):
    order()
    assert read_status(wire) == b"done"
    gateway.retirement.is_done = False
    run(gateway.retirement.write_report(is_done=False))
    assert read_status(wire) == b"done"
