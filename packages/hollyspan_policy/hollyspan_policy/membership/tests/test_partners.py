"""Tests of the selection of link partners."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.membership import choose_partners
from hollyspan_policy.membership import Probes

SIZES = strategies.integers(1, 19)


@given(SIZES, SIZES)
def test_every_pair_of_data_centres_is_linked(first, second):
    own = [f"a{i}" for i in range(first)]
    others = [f"b{i}" for i in range(second)]
    chosen = {
        name: choose_partners(
            instance=name,
            data_centre="a",
            local_instances=own,
            others={"b": others},
        )
        for name in own
    }
    linked = [name for name, partners in chosen.items() if partners]
    assert len(linked) == min(2, first)
    assert all(len(chosen[name]) == min(2, second) for name in linked)


def test_silent_partner_is_excluded_and_retried():
    probes = Probes(silence_timeout=6.0, retry_interval=30.0)
    probes.record_sent("b1", now=0.0)
    assert probes.select(["b1", "b2"], now=1.0) == ["b1", "b2"]
    assert probes.select(["b1", "b2"], now=7.0) == ["b2"]
    assert probes.select(["b1", "b2"], now=31.0) == ["b1", "b2"]


def test_responding_partner_stays_selected():
    probes = Probes(silence_timeout=6.0)
    probes.record_sent("b1", now=0.0)
    probes.record_received("b1")
    assert probes.select(["b1", "b2"], now=7.0) == ["b1", "b2"]


def test_all_partners_are_selected_when_all_are_silent():
    probes = Probes(silence_timeout=6.0)
    probes.record_sent("b1", now=0.0)
    assert probes.select(["b1"], now=7.0) == ["b1"]
