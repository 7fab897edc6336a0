"""The list of upstreams through leaving, lapses and reused names."""

import pytest

from hollyspan_gateway.upstreams import Directory


@pytest.fixture
def left():
    return []


@pytest.fixture
def directory(reactor, left):
    return Directory(
        reactor=reactor,
        find_region=lambda data_centre: data_centre,
        on_leaving=lambda upstream: left.append(upstream.entry.name),
    )


def test_a_leaving_upstream_takes_nothing_new(directory, helpers, left):
    directory.update({"u": helpers.build_entry("u")})
    directory.update({"u": helpers.build_entry("u", is_ready=False)})
    assert directory.list_usable("m") == []
    assert left == ["u"]


def build_entries(helpers, *names):
    return {name: helpers.build_entry(name) for name in names}


def test_a_missing_entry_is_gone_at_once(directory, helpers, left):
    directory.update(build_entries(helpers, "u", "v", "w"))
    directory.update(build_entries(helpers, "u", "v"))
    assert len(directory.list_usable("m")) == 2
    assert left == ["w"]


def test_entries_that_vanish_together_may_have_lapsed(
    directory, helpers, reactor, left
):
    # The store was silent, and a waiting watch has not noticed.
    names = ("u", "v", "w")
    directory.update(build_entries(helpers, *names))
    again_at = directory.update({})
    assert len(directory.list_usable("m")) == 3
    reactor.advance(1.0)
    directory.update(build_entries(helpers, "u", "v"))
    assert left == []
    reactor.advance(again_at - reactor.seconds())
    assert directory.update(build_entries(helpers, "u", "v")) is None
    assert left == ["w"]


def test_what_is_missing_is_kept_below_the_bound_for_leaving(
    directory, helpers, reactor
):
    directory.update(build_entries(helpers, "u"))
    again_at = directory.update({})
    assert again_at - reactor.seconds() < 2.5
    reactor.advance(2.4)
    directory.update({})
    assert directory.list_usable("m") == []


def test_a_lapsed_entry_is_kept_until_it_had_time_to_return(
    directory, helpers, reactor, left
):
    directory.update(build_entries(helpers, "u", "v", "w"))
    until = reactor.seconds() + 2.0
    rest = build_entries(helpers, "u", "v")
    directory.update(rest, lapse_until=until)
    assert len(directory.list_usable("m")) == 3
    reactor.advance(2.1)
    directory.update(rest, lapse_until=until)
    assert len(directory.list_usable("m")) == 2
    assert left == ["w"]


def test_a_leaving_entry_does_not_lapse(directory, helpers, reactor):
    directory.update({"u": helpers.build_entry("u", is_ready=False)})
    directory.update({}, lapse_until=reactor.seconds() + 2.0)
    assert directory.upstreams == {}


def test_a_new_start_under_the_same_name_begins_empty(directory, helpers):
    directory.update({"u": helpers.build_entry("u", born=1)})
    directory.upstreams["u"].online = 3
    directory.update({"u": helpers.build_entry("u", born=2)})
    assert directory.upstreams["u"].online == 0


def test_a_peer_s_word_keeps_work_away_unless_a_report_is_recent(
    directory, helpers, reactor
):
    directory.update({"u": helpers.build_entry("u")})
    upstream = directory.upstreams["u"]
    upstream.take_report(1, 0, now=reactor.seconds())
    directory.note_hearsay(upstream)
    assert upstream.suspect_until <= reactor.seconds()
    reactor.advance(0.5)
    directory.note_hearsay(upstream)
    assert upstream.suspect_until > reactor.seconds()


def test_an_upstream_that_cannot_be_connected_to_rests_longer(
    directory, helpers, reactor
):
    directory.update(
        {"u": helpers.build_entry("u"), "v": helpers.build_entry("v")}
    )
    first, second = directory.upstreams.values()
    directory.note_failure(first)
    directory.note_unreachable(second)
    assert second.suspect_until > first.suspect_until + 1.0


def test_failures_in_a_row_keep_work_away_for_longer(
    directory, helpers, reactor
):
    directory.update({"u": helpers.build_entry("u")})
    upstream = directory.upstreams["u"]
    directory.note_failure(upstream)
    first = upstream.suspect_until - reactor.seconds()
    directory.note_failure(upstream)
    assert upstream.suspect_until - reactor.seconds() > first
    directory.note_success(upstream)
    assert upstream.suspect_until <= reactor.seconds()
