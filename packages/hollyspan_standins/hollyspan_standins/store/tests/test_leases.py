"""Tests of leases."""

from twisted.internet.task import Clock

from hollyspan_standins.store.leases import Leases


def build():
    clock = Clock()
    deleted = []
    return clock, deleted, Leases(clock=clock, delete_keys=deleted.extend)


def test_expiry_deletes_the_keys():
    clock, deleted, leases = build()
    number = leases.grant(5)
    leases.move_key(b"a", 0, number)
    clock.advance(4.9)
    assert deleted == []
    clock.advance(0.2)
    assert deleted == [b"a"]
    assert leases.keep_alive(number) == 0


def test_keep_alive_restarts_the_timer():
    clock, deleted, leases = build()
    number = leases.grant(5)
    leases.move_key(b"a", 0, number)
    clock.advance(4)
    assert leases.keep_alive(number) == 5
    clock.advance(4)
    assert deleted == []


def test_moved_key_outlives_its_old_lease():
    clock, deleted, leases = build()
    old = leases.grant(5)
    new = leases.grant(50)
    leases.move_key(b"a", 0, old)
    leases.move_key(b"a", old, new)
    clock.advance(6)
    assert deleted == []


def test_second_revocation_returns_false():
    _, deleted, leases = build()
    number = leases.grant(5)
    leases.move_key(b"a", 0, number)
    assert leases.revoke(number)
    assert deleted == [b"a"]
    assert not leases.revoke(number)
