"""Tests of items that have an owner that leaves them alone, and more."""

import pytest

from .test_succession import FINISH_S
from .test_succession import fleet  # noqa: F401
from .test_succession import ITEMS
from .test_succession import list_done
from .test_succession import PART
from .test_succession import start_nothing
from .test_succession import submit  # noqa: F401


class NoRoutes:
    """Routes of a configuration without any."""

    is_complete = True
    revision = 10**6

    def find(self, host, path):
        """Find none."""

    def list_routes(self):
        """Return none."""
        return []


# Failure: only the owner of a blocked item would try the block, so that both
# lasted for ever when it did not.
@pytest.mark.parametrize("count", [1, 2])
def test_a_block_is_tried_though_the_owners_leave_their_items_alone(
    fleet, submit, wire, reactor, count  # noqa: F811
):
    submit(count)
    for gateway in fleet.gateways:
        gateway.guard.block_list.add(frozenset({PART}), at=reactor.seconds())
    fleet.advance(0.2)
    owners = {
        state.owner
        for state in fleet.gateways[0]
        .worker.catalogue.jobs["j"]
        .items.values()
    }
    for gateway in fleet.gateways[:4]:
        if gateway.peers.identifier in owners:
            start_nothing(fleet, gateway)
    fleet.advance(2 * FINISH_S)
    assert len(list_done(wire)) == count


# Failure: with a watch that was broken every few seconds, no time without
# work on an item ever sufficed.
@pytest.mark.parametrize("interval", [2.0, 3.5])
def test_items_are_taken_over_while_watches_break_again_and_again(
    fleet, submit, wire, reactor, interval  # noqa: F811
):
    start_nothing(fleet, fleet.gateways[0])
    submit()
    for _ in range(round(2 * FINISH_S / interval)):
        for gateway in fleet.gateways:
            gateway.upstreams_mirror.reconnected_at = reactor.seconds()
        fleet.advance(interval)
    assert len(list_done(wire)) == ITEMS


# Failure: as long as new jobs filled all places, nobody took the items over
# that an owner left alone, though later ones were done.
@pytest.mark.parametrize("count", [4, 8])
def test_items_left_alone_are_done_before_later_ones(
    fleet, submit, wire, count  # noqa: F811
):
    start_nothing(fleet, fleet.gateways[0])
    submit()
    names = []
    for number in range(14):
        for each in range(count):
            names.append(f"l{number}-{each}-")
            submit(name=names[-1])
        fleet.advance(3.0)
    later = sum(len(list_done(wire, name)) for name in names)
    assert later > 4 * ITEMS
    assert len(list_done(wire)) == ITEMS, (len(list_done(wire)), later)


# Failure: an item whose route has ended was given up by its owner only.
def test_items_without_a_route_are_given_up_though_an_owner_leaves_them(
    fleet, submit, wire  # noqa: F811
):
    start_nothing(fleet, fleet.gateways[0])
    for gateway in fleet.gateways:
        gateway.routes = NoRoutes()
        gateway.configuration_mirror.revision = NoRoutes.revision
    submit()
    fleet.advance(2 * FINISH_S)
    assert len(list_done(wire)) == ITEMS
