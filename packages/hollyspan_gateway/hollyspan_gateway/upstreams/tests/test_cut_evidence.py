"""Tests of what tells lost links from upstreams that stand still."""

import pytest


@pytest.fixture
def reach(build_gateway):
    gateway = build_gateway(upstreams=("u1", "u2", "u3"))
    # No probe ends what the tests set up.
    gateway.pool.drops_new = lambda address: True
    return gateway.reach


def fail(reach, name, **options):
    """Let an attempt that has waited for 0.3 s fail at an upstream."""
    reactor = reach.gateway.reactor
    upstream = reach.gateway.directory.upstreams[name]
    upstream.online += 1
    waited_since = reactor.seconds()
    reactor.advance(0.3)
    options = {"is_unconnected": False, **options}
    reach.note_failure(upstream, waited_since=waited_since, **options)
    return upstream


def test_a_silence_shows_nothing_until_it_is_long(reach):
    for name in ("u1", "u2"):
        fail(reach, name, is_unconnected=True)
    assert reach.is_cut_off
    assert not reach.evidence.is_conclusive()
    reach.gateway.reactor.advance(1.9)
    assert not reach.evidence.is_conclusive()
    reach.gateway.reactor.advance(1.0)
    assert reach.evidence.is_conclusive()


@pytest.mark.parametrize(
    "options",
    [{"is_closed": True}, {"is_unconnected": True, "is_refused": True}],
)
def test_connections_to_one_upstream_that_do_not_last_show_nothing(
    reach, options
):
    fail(reach, "u1", **options)
    assert not reach.evidence.is_conclusive()
    fail(reach, "u2", **options)
    assert reach.evidence.is_conclusive()


def test_links_that_were_closed_before_the_last_bytes_do_not_count(reach):
    for name in ("u1", "u2"):
        fail(reach, name, is_closed=True)
    reach.gateway.reactor.advance(0.1)
    reach.note_data(reach.gateway.directory.upstreams["u3"])
    fail(reach, "u3")
    assert not reach.evidence.is_conclusive()


@pytest.mark.parametrize("age", [0.0, 0.5])
def test_an_upstream_that_others_hear_meanwhile_is_behind_a_lost_link(
    reach, age
):
    upstream = fail(reach, "u1")
    now = reach.gateway.reactor.seconds()
    upstream.link.note_heard_elsewhere(at=now - age)
    assert reach.evidence.is_conclusive() is (age < 0.15)


def test_what_is_heard_of_upstreams_without_work_here_shows_nothing(reach):
    fail(reach, "u1")
    now = reach.gateway.reactor.seconds()
    other = reach.gateway.directory.upstreams["u3"]
    other.link.note_heard_elsewhere(at=now)
    assert not reach.evidence.is_conclusive()


# Failure: an upstream that was not reached in an earlier silence counted as
# one that is silent here in the next one.
def test_what_was_not_reached_before_the_last_bytes_does_not_count(reach):
    upstreams = reach.gateway.directory.upstreams
    reach.evidence.ask(upstreams["u3"])
    reach.note_data(upstreams["u2"])
    reach.gateway.reactor.advance(5.0)
    fail(reach, "u1")
    now = reach.gateway.reactor.seconds()
    upstreams["u3"].link.note_heard_elsewhere(at=now)
    assert not reach.evidence.is_conclusive()
