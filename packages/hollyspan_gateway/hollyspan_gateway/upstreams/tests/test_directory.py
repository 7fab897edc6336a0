"""Tests of the directory when upstreams leave, expire and restart."""

import pytest

from hollyspan_gateway.upstreams import Directory


@pytest.fixture
def departed():
    return []


@pytest.fixture
def directory(reactor, departed):
    return Directory(
        reactor=reactor,
        find_region=lambda data_centre: data_centre,
        on_leaving=lambda upstream: departed.append(upstream.entry.name),
        on_replaced=lambda upstream: None,
        on_change=lambda upstream: None,
    )


def test_a_leaving_upstream_gets_no_new_work(directory, helpers, departed):
    directory.update({"u": helpers.build_entry("u")})
    directory.update({"u": helpers.build_entry("u", is_ready=False)})
    assert directory.list_usable("m") == []
    assert departed == ["u"]


def build_entries(helpers, *names):
    return {name: helpers.build_entry(name) for name in names}


def test_a_single_missing_entry_is_removed_at_once(
    directory, helpers, departed
):
    directory.update(build_entries(helpers, "u", "v", "w"))
    directory.update(build_entries(helpers, "u", "v"))
    assert len(directory.list_usable("m")) == 2
    assert departed == ["w"]


def test_entries_that_disappear_together_are_kept_for_a_while(
    directory, helpers, reactor, departed
):
    # During an outage of the store that a waiting watch has not noticed.
    names = ("u", "v", "w")
    directory.update(build_entries(helpers, *names))
    recheck_at = directory.update({})
    assert len(directory.list_usable("m")) == 3
    reactor.advance(1.0)
    directory.update(build_entries(helpers, "u", "v"))
    assert departed == []
    reactor.advance(recheck_at - reactor.seconds())
    assert directory.update(build_entries(helpers, "u", "v")) is None
    assert departed == ["w"]


def test_missing_upstreams_are_removed_within_the_bound_for_leaving(
    directory, helpers, reactor
):
    directory.update(build_entries(helpers, "u"))
    recheck_at = directory.update({})
    assert recheck_at - reactor.seconds() < 2.5
    reactor.advance(2.4)
    directory.update({})
    assert directory.list_usable("m") == []


# Failure: one of two upstreams that left counted as expired in an outage, and
# was used for longer than an upstream that leaves serves.
def test_one_of_two_upstreams_that_leaves_is_removed_at_once(
    directory, helpers, departed
):
    names = [f"u{number}" for number in range(4)]
    entries = build_entries(helpers, *names)
    entries |= {
        name: helpers.build_entry(name, service="n") for name in ("v", "w")
    }
    directory.update(entries)
    del entries["w"]
    directory.update(entries)
    assert departed == ["w"]


def test_the_last_upstream_of_a_service_is_kept_for_a_while(
    directory, helpers, departed
):
    entries = build_entries(helpers, "u", "v", "w")
    entries["x"] = helpers.build_entry("x", service="n")
    directory.update(entries)
    del entries["x"]
    directory.update(entries)
    assert departed == []
    assert len(directory.list_usable("n")) == 1


def test_the_grace_time_counts_from_the_change_in_the_store(
    directory, helpers, reactor
):
    directory.update(build_entries(helpers, "u", "v"))
    recheck_at = directory.update({}, change_age=0.4)
    assert recheck_at - reactor.seconds() + 0.4 < 2.5
    reactor.advance(2.1)
    directory.update({}, change_age=0.4)
    assert directory.list_usable("m") == []


def test_an_expired_entry_is_kept_during_the_grace_time(
    directory, helpers, reactor, departed
):
    directory.update(build_entries(helpers, "u", "v", "w"))
    until = reactor.seconds() + 2.0
    rest = build_entries(helpers, "u", "v")
    directory.update(rest, expiry_grace_until=until)
    assert len(directory.list_usable("m")) == 3
    reactor.advance(2.1)
    directory.update(rest, expiry_grace_until=until)
    assert len(directory.list_usable("m")) == 2
    assert departed == ["w"]


def test_a_leaving_upstream_is_not_kept_as_expired(
    directory, helpers, reactor
):
    directory.update({"u": helpers.build_entry("u", is_ready=False)})
    directory.update({}, expiry_grace_until=reactor.seconds() + 2.0)
    assert directory.upstreams == {}


def test_a_restarted_upstream_has_no_work_in_flight(directory, helpers):
    directory.update({"u": helpers.build_entry("u", started_at_ms=1)})
    directory.upstreams["u"].online = 3
    directory.update({"u": helpers.build_entry("u", started_at_ms=2)})
    assert directory.upstreams["u"].online == 0


def test_a_peer_report_starts_a_backoff_unless_a_load_report_is_recent(
    directory, helpers, reactor
):
    directory.update({"u": helpers.build_entry("u")})
    upstream = directory.upstreams["u"]
    upstream.record_report(1, 0, now=reactor.seconds())
    directory.note_reported_unreachable(upstream, peer="p")
    assert not upstream.is_suspect(now=reactor.seconds())
    reactor.advance(0.5)
    directory.note_reported_unreachable(upstream, peer="p")
    assert upstream.is_suspect(now=reactor.seconds())


def test_an_unreachable_upstream_has_a_longer_backoff(
    directory, helpers, reactor
):
    directory.update(
        {"u": helpers.build_entry("u"), "v": helpers.build_entry("v")}
    )
    first, second = directory.upstreams.values()
    directory.note_failure(first)
    directory.note_unreachable(second)
    assert second.suspect_until > first.suspect_until + 1.0


def test_consecutive_failures_extend_the_backoff(directory, helpers, reactor):
    directory.update({"u": helpers.build_entry("u")})
    upstream = directory.upstreams["u"]
    directory.note_failure(upstream)
    first = upstream.suspect_until - reactor.seconds()
    directory.note_failure(upstream)
    assert upstream.suspect_until - reactor.seconds() > first
    directory.note_success(upstream)
    assert upstream.suspect_until <= reactor.seconds()


def depart(directory, name):
    directory.note_departure(directory.upstreams[name])


def test_a_departure_holds_while_the_entry_still_says_ready(
    directory, helpers, departed
):
    directory.update(build_entries(helpers, "u", "v"))
    depart(directory, "u")
    directory.update(build_entries(helpers, "u", "v"))
    assert [each.entry.name for each in directory.list_usable("m")] == ["v"]
    assert departed == ["u"]


def test_a_departure_outlasts_the_entry(directory, helpers):
    directory.update(build_entries(helpers, "u", "v", "w"))
    depart(directory, "u")
    directory.update(build_entries(helpers, "v", "w"))
    directory.update(build_entries(helpers, "u", "v", "w"))
    assert len(directory.list_usable("m")) == 2


def test_a_departed_upstream_is_not_kept_when_entries_expire_together(
    directory, helpers
):
    directory.update(build_entries(helpers, "u", "v"))
    depart(directory, "u")
    directory.update({})
    assert [each.entry.name for each in directory.list_usable("m")] == ["v"]
    assert "u" not in directory.upstreams


@pytest.mark.parametrize("with_gap", (False, True))
def test_a_restarted_upstream_gets_work_again(directory, helpers, with_gap):
    directory.update({"u": helpers.build_entry("u", started_at_ms=1)})
    depart(directory, "u")
    if with_gap:
        directory.update({})
    directory.update({"u": helpers.build_entry("u", started_at_ms=2)})
    assert len(directory.list_usable("m")) == 1


def test_a_departure_reported_before_the_entry_is_known(directory, helpers):
    entry = helpers.build_entry("u")
    assert directory.note_reported_departure(entry.incarnation_key)
    directory.update({"u": entry})
    assert directory.list_usable("m") == []


@pytest.mark.parametrize(
    "changes",
    [{"version": "v2"}, {"started_at_ms": 2}, {"port": 2}],
    ids=["version", "start", "address"],
)
def test_an_entry_of_another_process_keeps_nothing_of_the_one_before(
    directory, helpers, changes
):
    values = {"version": "v1", "started_at_ms": 1, "port": 1}
    directory.update({"u": helpers.build_entry("u", **values)})
    upstream = directory.upstreams["u"]
    upstream.failures = 3
    directory.update({"u": helpers.build_entry("u", **values)})
    assert directory.upstreams["u"] is upstream
    directory.update({"u": helpers.build_entry("u", **{**values, **changes})})
    assert directory.upstreams["u"].failures == 0
    assert upstream.incarnation.is_unproven
    assert not directory.upstreams["u"].incarnation.is_unproven


# Failure: each choice of an upstream walked those of all services.
def test_a_service_is_found_without_a_walk_over_all(directory, helpers):
    entries = build_entries(helpers, "u", "v")
    others = {f"x{number}": "other" for number in range(100)}
    for name, service in others.items():
        entries[name] = helpers.build_entry(name, service=service)
    directory.update(entries)
    directory.upstreams = WalkedDict(directory.upstreams)
    for _ in range(10):
        assert len(directory.list_usable("m")) == 2
    # They are gathered once.
    assert directory.upstreams.walks <= 1


class WalkedDict(dict):
    """Dictionary that counts the walks over all that it holds."""

    walks = 0

    def values(self):
        self.walks += 1
        return super().values()


@pytest.mark.parametrize("started_at_ms", [None, 7], ids=["same", "reborn"])
def test_an_upstream_belongs_to_its_last_service(
    directory, helpers, started_at_ms
):
    directory.update(build_entries(helpers, "u", "v", "w"))
    entries = build_entries(helpers, "u", "v", "w")
    entries["v"] = helpers.build_entry(
        "v", service="other", started_at_ms=started_at_ms
    )
    directory.update(entries)
    names = [each.entry.name for each in directory.list_usable("m")]
    assert names == ["u", "w"]
    assert len(directory.list_usable("other")) == 1
    directory.remove(directory.upstreams["v"])
    assert directory.list_usable("other") == []
