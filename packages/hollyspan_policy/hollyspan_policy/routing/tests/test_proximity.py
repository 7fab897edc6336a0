"""Choice between upstreams near and far."""

from hollyspan_policy.routing import choose_nearby
from hollyspan_policy.routing import UpstreamView


def build_view(name, data_centre="a", **load):
    return UpstreamView(name=name, data_centre=data_centre, slots=8, **load)


def choose(views, **options):
    chosen = choose_nearby(
        views, data_centre="a", service_seconds=0.7, **options
    )
    return None if chosen is None else chosen.name


def test_the_own_data_centre_comes_first():
    assert choose([build_view("n"), build_view("f", "b")]) == "n"


def test_a_free_slot_far_away_goes_before_a_queue():
    near = build_view("n", online=8)
    assert choose([near, build_view("f", "b", online=7)]) == "f"


def test_a_free_slot_far_away_goes_before_a_preemption():
    near = build_view("n", online=2, batch=6)
    assert choose([near, build_view("f", "b")]) == "f"


def test_batch_work_gives_way_before_online_requests_wait():
    queued = build_view("q", online=8)
    yielding = build_view("y", online=4, batch=4)
    assert choose([queued, yielding]) == "y"


def test_hidden_streams_count_as_taken():
    hidden = build_view("h", hidden=8)
    assert choose([hidden, build_view("o", online=5)]) == "o"


def test_excluded_and_leaving_upstreams_are_passed_over():
    views = [build_view("x"), build_view("l", serving=False)]
    assert choose(views, excluded=("x",)) is None


def test_equal_upstreams_are_drawn_by_the_request():
    views = [build_view(f"u{number}") for number in range(4)]
    chosen = {choose(views, seed=str(number)) for number in range(40)}
    assert len(chosen) == 4


def test_the_own_region_goes_before_another_one():
    views = [build_view("f", "c"), build_view("n", "b", online=2)]
    assert choose(views, is_near=lambda place: place == "b") == "n"
    assert choose(views) == "f"


def test_a_view_from_afar_that_is_old_weighs_less():
    """Eight batch streams near, that give way, and a slot that may be gone."""
    near = build_view("n", batch=8)
    far = build_view("f", "b", online=2)
    assert choose([near, far]) == "f"
    assert choose([near, far], knows_remote=False) == "n"
    # A queue near by still goes after a free slot far away.
    near = build_view("n", online=9)
    assert choose([near, far], knows_remote=False) == "f"
