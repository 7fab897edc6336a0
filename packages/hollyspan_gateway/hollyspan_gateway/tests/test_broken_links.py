"""Tests of requests whose only upstream is lost to one gateway's link."""

import pytest

from hollyspan_core.errors import StreamLostError
from hollyspan_gateway.routes import RouteKind
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import LinkState

KINDS = {
    "stream": {},
    "plain": {"kind": RouteKind.IDEMPOTENT, "is_resumable": False},
    "once": {"kind": RouteKind.ONCE, "is_resumable": False},
}


def play(build_fleet, *, kind, at, state, gateways=3, resume=None):
    """Break the link to the only upstream; return request, sends and hops.

    A `state` of None is one reset of a link that is whole again.
    """
    fleet = build_fleet(
        gateways=gateways, upstreams=1, routes=[build_route(**KINDS[kind])]
    )
    front = fleet.gateways[0]
    fleet.request("first", gateway=front)
    fleet.advance(2.0)
    if at < 0:
        fleet.set_links(front, state)
    options = {} if resume is None else {"resume": resume, "resumes": "first"}
    request = fleet.request("q", gateway=front, **options)
    fleet.advance(max(0.0, at))
    if state is not None:
        fleet.set_links(front, state)
    elif fleet.sent[-1].is_open():
        fleet.sent[-1].is_ended = True
        fleet.sent[-1].connection.exchange.on_failure(StreamLostError("reset"))
    fleet.advance(6.0)
    sends = [
        each for each in fleet.sent if each.connection.headers[b"id"] == b"q"
    ]
    hops = [each for each in fleet.peer_calls if each.getHeader("id") == "q"]
    return request, len(sends), len(hops)


# Failure: nobody was asked to go on, since the only upstream had been tried.
@pytest.mark.parametrize("state", ["RESET", "REFUSES", "RESETS_REQUESTS"])
@pytest.mark.parametrize("at", [-1.0, 0.03, 0.06, 0.3])
@pytest.mark.parametrize(
    ("kind", "resume"), [("stream", None), ("stream", 4), ("plain", None)]
)
def test_request_goes_on_over_another_gateway(
    build_fleet, kind, resume, at, state
):
    request, sends, hops = play(
        build_fleet, kind=kind, at=at, state=LinkState[state], resume=resume
    )
    assert request.is_served(), (request.status, request.is_aborted)
    assert sends <= 2 and hops == 1


# Failure: the same for a gateway that is alone, whose link is whole again.
@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("at", [0.03, 0.06, 0.3])
@pytest.mark.parametrize("kind", KINDS)
def test_request_goes_on_after_one_reset(build_fleet, kind, at, gateways):
    request, sends, hops = play(
        build_fleet, kind=kind, at=at, state=None, gateways=gateways
    )
    may_repeat = kind != "once"
    assert request.is_served() is may_repeat
    assert (sends, hops) == (1 + may_repeat, may_repeat and gateways > 1)
