from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.membership import Member
from hollyspan_policy.membership import MemberState
from hollyspan_policy.membership import MemberTable


def build_member(instance="a", **fields):
    values = {
        "data_centre": "kriti-a",
        "incarnation": 1,
        "sequence": 1,
        "address": "127.0.0.1",
        "peer_port": 7000,
        "http_port": 8080,
        "leaving": False,
        "generation": 1,
        "free_slots": 4,
        "last_seen": 0.0,
    }
    return Member(instance=instance, **{**values, **fields})


def test_silent_daemon_is_suspected_then_failed():
    table = MemberTable(timeout=2.0)
    table.observe(build_member())
    assert table.find_state("a", now=1.0) is MemberState.LIVE
    assert table.find_state("a", now=1.5) is MemberState.SUSPECT
    assert table.list_live(now=1.5)
    assert table.find_state("a", now=2.5) is MemberState.FAILED
    assert not table.list_live(now=2.5)
    assert table.find_state("b", now=0.0) is None


def test_restarted_daemon_replaces_its_earlier_incarnation():
    table = MemberTable(timeout=2.0)
    table.observe(build_member(sequence=900, leaving=True))
    assert table.observe(build_member(incarnation=2, sequence=1))
    assert not table.observe(build_member(sequence=901, leaving=True))
    assert table.find_state("a", now=0.1) is MemberState.LIVE


def test_leaving_is_permanent_within_an_incarnation():
    table = MemberTable(timeout=2.0)
    table.observe(build_member(sequence=5, leaving=True))
    table.observe(build_member(sequence=6))
    assert table.find_state("a", now=0.1) is MemberState.LEAVING
    assert not table.list_live(now=0.1)
    assert table.list_live(now=0.1, leaving=True)


def test_silent_daemons_are_listed_and_then_evicted():
    table = MemberTable(timeout=2.0)
    table.observe(build_member("a"))
    table.observe(build_member("b", last_seen=10.0))
    assert table.list_silent(["a", "b", "c"], now=10.0) == ["a", "c"]
    assert table.forget(before=5.0) == ["a"]
    assert set(table.members) == {"b"}


@given(
    st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5)), min_size=1),
    st.randoms(use_true_random=False),
)
def test_state_does_not_depend_on_the_order_of_arrival(heartbeats, random):
    tables = []
    for _ in range(2):
        random.shuffle(heartbeats)
        table = MemberTable(timeout=2.0)
        for incarnation, sequence in heartbeats:
            table.observe(
                build_member(incarnation=incarnation, sequence=sequence)
            )
        tables.append(table.members["a"])
    first, second = tables
    assert (first.incarnation, first.sequence) == max(heartbeats)
    assert (second.incarnation, second.sequence) == max(heartbeats)
