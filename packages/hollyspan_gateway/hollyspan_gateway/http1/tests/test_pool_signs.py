"""Tests of what a pool tells of connections that end."""

import pytest
from twisted.internet import defer

from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_gateway.http1 import ConnectionPool

ADDRESS = ("10.0.0.1", 1)


class Connection:
    """Idle connection whose peer has named a timeout, or none."""

    def __init__(self, *, has_time_left):
        self.opened_at = 7.0
        self.is_lost = False
        self.has_time_left = lambda: has_time_left


@pytest.fixture
def pool(reactor):
    return ConnectionPool(reactor=reactor)


def test_a_refused_connection_is_told(pool, run, monkeypatch):
    async def refuse(*arguments, **options):
        raise UpstreamConnectionRefusedError("connection refused")

    refused = []
    pool.on_refused = refused.append
    monkeypatch.setattr(
        ConnectionPool,
        "connect",
        lambda *arguments, **options: defer.ensureDeferred(refuse()),
    )
    with pytest.raises(UpstreamConnectionRefusedError):
        run(pool.open_idle(ADDRESS))
    assert refused == [ADDRESS]


@pytest.mark.parametrize("has_time_left", [True, False])
def test_only_an_idle_connection_closed_before_its_time_is_told(
    pool, has_time_left
):
    closed = []
    pool.on_closed_early = closed.append
    connection = Connection(has_time_left=has_time_left)
    pool.add_idle(ADDRESS, connection)
    assert pool.list_idle(ADDRESS) == [7.0]
    pool.remove_idle(ADDRESS, connection)
    assert closed == [ADDRESS] * has_time_left
    assert pool.list_idle(ADDRESS) == []
