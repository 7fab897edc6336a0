"""Tests of the memory of departures."""

from hollyspan_gateway.upstreams import departures
from hollyspan_gateway.upstreams import Departures


def test_the_newest_departures_are_announced_for_a_while():
    noted = Departures()
    for number in range(departures.MAX_ANNOUNCED + 5):
        assert noted.note(number, now=float(number))
    now = float(departures.MAX_ANNOUNCED + 4)
    announced = noted.list_announced(now=now)
    assert announced[0] == departures.MAX_ANNOUNCED + 4
    assert len(announced) == departures.ANNOUNCEMENT_S + 1
    assert noted.list_announced(now=now + departures.ANNOUNCEMENT_S + 1) == []
    assert 0 in noted


def test_a_repeated_report_does_not_prolong_the_announcement():
    # Two gateways would otherwise announce a departure to each other forever.
    noted = Departures()
    noted.note(7, now=0.0)
    assert not noted.note(7, now=departures.ANNOUNCEMENT_S)
    assert noted.list_announced(now=departures.ANNOUNCEMENT_S + 1) == []


def test_the_oldest_departures_are_forgotten_at_the_limit():
    noted = Departures()
    for number in range(departures.MAX_REMEMBERED + 1):
        noted.note(number, now=0.0)
    assert 0 not in noted
    assert 1 in noted
    assert len(noted.noted_at) == departures.MAX_REMEMBERED
