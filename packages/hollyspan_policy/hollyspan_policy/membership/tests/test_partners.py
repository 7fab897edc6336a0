"""Tests of the choice of link partners."""

from hypothesis import given
from hypothesis import strategies

from hollyspan_policy.membership import choose_partners
from hollyspan_policy.membership import Probes

SIZES = strategies.integers(1, 19)


@given(SIZES, SIZES)
def test_data_centres_stay_linked(first, second):
    own = [f"a{i}" for i in range(first)]
    others = [f"b{i}" for i in range(second)]
    chosen = {
        name: choose_partners(
            instance=name, data_centre="a", own=own, others={"b": others}
        )
        for name in own
    }
    speakers = [name for name, partners in chosen.items() if partners]
    assert len(speakers) == min(2, first)
    assert all(len(chosen[name]) == min(2, second) for name in speakers)


def test_a_silent_partner_is_left_out_and_tried_again():
    probes = Probes(patience=6.0, pause=30.0)
    probes.send("b1", now=0.0)
    assert probes.select(["b1", "b2"], now=1.0) == ["b1", "b2"]
    assert probes.select(["b1", "b2"], now=7.0) == ["b2"]
    assert probes.select(["b1", "b2"], now=31.0) == ["b1", "b2"]


def test_a_partner_that_is_heard_stays():
    probes = Probes(patience=6.0)
    probes.send("b1", now=0.0)
    probes.hear("b1")
    assert probes.select(["b1", "b2"], now=7.0) == ["b1", "b2"]


def test_all_silent_partners_are_tried():
    probes = Probes(patience=6.0)
    probes.send("b1", now=0.0)
    assert probes.select(["b1"], now=7.0) == ["b1"]
