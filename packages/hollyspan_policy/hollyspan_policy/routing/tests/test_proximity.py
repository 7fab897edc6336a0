"""Tests of the choice of an upstream over data centres and regions."""

from hollyspan_policy.routing import choose_fastest_upstream
from hollyspan_policy.routing import UpstreamView


def build_view(name, data_centre="a", **load):
    return UpstreamView(name=name, data_centre=data_centre, slots=8, **load)


def choose(views, **options):
    chosen = choose_fastest_upstream(
        views, data_centre="a", service_seconds=0.7, **options
    )
    return None if chosen is None else chosen.name


def test_same_data_centre_is_preferred():
    assert choose([build_view("n"), build_view("f", "b")]) == "n"


def test_remote_free_slot_is_preferred_to_a_queue():
    local = build_view("n", online=8)
    assert choose([local, build_view("f", "b", online=7)]) == "f"


def test_remote_free_slot_is_preferred_to_a_preemption():
    local = build_view("n", online=2, batch=6)
    assert choose([local, build_view("f", "b")]) == "f"


def test_preemption_is_preferred_to_a_queue():
    queued = build_view("q", online=8)
    yielding = build_view("y", online=4, batch=4)
    assert choose([queued, yielding]) == "y"


def test_hidden_streams_occupy_slots():
    hidden = build_view("h", hidden=8)
    assert choose([hidden, build_view("o", online=5)]) == "o"


def test_excluded_and_leaving_upstreams_are_skipped():
    views = [build_view("x"), build_view("l", serving=False)]
    assert choose(views, excluded=("x",)) is None


def test_ties_are_broken_by_the_request_key():
    views = [build_view(f"u{number}") for number in range(4)]
    chosen = {choose(views, seed=str(number)) for number in range(40)}
    assert len(chosen) == 4


def test_same_region_is_preferred_to_other_regions():
    views = [build_view("f", "c"), build_view("n", "b", online=2)]
    assert (
        choose(views, is_same_region=lambda data_centre: data_centre == "b")
        == "n"
    )
    assert choose(views) == "f"


def test_stale_view_of_another_region_is_penalised():
    """Guard against routing by a stale view of another region.

    Eight batch streams in the same region yield, whereas the remote slot that
    looks free may be occupied by now.
    """
    local = build_view("n", batch=8)
    remote = build_view("f", "b", online=2)
    assert choose([local, remote]) == "f"
    assert choose([local, remote], has_current_remote_load=False) == "n"
    # A remote free slot is still preferred to a queue in the same region.
    local = build_view("n", online=9)
    assert choose([local, remote], has_current_remote_load=False) == "f"


def test_an_upstream_in_reserve_is_chosen_rather_than_a_queue():
    reserve = build_view("n", reserve_cost=0.04)
    assert choose([reserve, build_view("f", "b")]) == "f"
    assert choose([reserve, build_view("f", "b", online=9)]) == "n"
