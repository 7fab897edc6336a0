import pytest

from hollyspan_entry.jobs.running import lease as module
from hollyspan_entry.jobs.running.lease import LeaseKeeper


class Clock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def time(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(module, "time", clock)
    return clock


@pytest.fixture
def lost():
    return []


@pytest.fixture
def keeper(store, lost):
    return LeaseKeeper(
        store=store, ttl=10.0, margin=2.0, on_lost=lambda: lost.append(1)
    )


def test_lease_is_valid_until_the_margin(keeper, run, clock, lost):
    assert not keeper.check()
    run(keeper.maintain())
    clock.now += 7.9
    assert keeper.check()
    clock.now += 0.1
    assert not keeper.check()
    assert not keeper.check()
    assert lost == [1]


def test_store_outage_does_not_extend_the_lease(
    keeper, run, clock, store, lost
):
    run(keeper.maintain())
    store.outage = True
    clock.now += 5.0
    run(keeper.maintain())
    assert keeper.check()
    clock.now += 3.0
    run(keeper.maintain())
    assert lost == [1]


def test_paused_holder_acquires_a_new_lease(keeper, run, clock, store, lost):
    run(keeper.maintain())
    first = keeper.lease_id
    clock.now += 60.0
    run(keeper.maintain())
    assert lost == [1]
    assert keeper.lease_id not in (0, first)
    assert keeper.check()


def test_expired_lease_is_dropped(keeper, run, clock, store, lost):
    run(keeper.maintain())
    store.expire(keeper.lease_id)
    run(keeper.maintain())
    assert lost == [1]
    assert not keeper.check()


def test_revoke_releases_the_claims(keeper, run, store, clock):
    run(keeper.maintain())
    run(store.create("claims/j/000000", b"", lease=keeper.lease_id))
    run(keeper.revoke())
    assert store.entries == {}
    run(keeper.maintain())
    assert keeper.lease_id == 0
