from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.routing import AffinityTable
from hollyspan_policy.routing import choose_least_loaded
from hollyspan_policy.routing import choose_upstream
from hollyspan_policy.routing import hash_blocks
from hollyspan_policy.routing import UpstreamView


def build_view(name, **fields):
    return UpstreamView(name=name, data_centre="kriti-a", slots=8, **fields)


def choose(views, *, blocks=(), affinity=None, **options):
    chosen = choose_upstream(
        views,
        blocks=list(blocks),
        affinity=affinity or AffinityTable(),
        **options,
    )
    return chosen and chosen.name


def test_upstream_with_cached_prefix_is_chosen_at_similar_load():
    affinity = AffinityTable()
    blocks = hash_blocks("x" * 1280)
    affinity.add("b", blocks)
    views = [build_view("a", online=1), build_view("b", online=2)]
    for seed in range(20):
        assert (
            choose(views, blocks=blocks, affinity=affinity, seed=str(seed))
            == "b"
        )


def test_upstream_with_cached_prefix_is_skipped_without_a_free_slot():
    affinity = AffinityTable()
    blocks = hash_blocks("x" * 1280)
    affinity.add("b", blocks)
    views = [build_view("a", online=1), build_view("b", online=9)]
    assert choose(views, blocks=blocks, affinity=affinity, seed="r") == "a"


def test_batch_streams_occupy_slots():
    views = [build_view("a", online=1, batch=7), build_view("b", online=5)]
    assert choose(views, seed="r") == "b"


def test_reported_queue_decays_with_the_age_of_the_report():
    queued = {"online": 3, "waiting": 20}
    fresh = [build_view("a", report_age=0.1, **queued)]
    fresh.append(build_view("b", online=6))
    assert choose(fresh, seed="r") == "b"
    stale = [build_view("a", report_age=60.0, **queued)]
    stale.append(build_view("b", online=6))
    assert choose(stale, seed="r") == "a"


def test_upstream_whose_batch_work_does_not_yield_is_skipped():
    views = [build_view("a", batch=8, batch_yields=False)]
    views.append(build_view("b", online=4, batch=4))
    assert choose(views, seed="r") == "b"


def test_hidden_streams_occupy_slots():
    views = [build_view("a", hidden=8), build_view("b", online=4, batch=4)]
    assert choose(views, seed="r") == "b"


def test_online_load_is_balanced_while_batch_fills_all_slots():
    affinity = AffinityTable()
    blocks = hash_blocks("x" * 1280)
    affinity.add("a", blocks)
    views = [build_view("a", online=6, batch=2)]
    views.append(build_view("b", online=1, batch=7))
    assert choose(views, blocks=blocks, affinity=affinity, seed="r") == "b"


def test_requests_with_the_same_view_are_spread_over_upstreams():
    views = [build_view(name, online=2) for name in "abcd"]
    views.append(build_view("e", online=1))
    chosen = [choose(views, seed=f"request-{n}") for n in range(200)]
    assert set(chosen) == set("abcde")
    assert chosen.count("e") < 120


def test_no_upstream_is_chosen_when_none_is_usable():
    views = [build_view("a", serving=False), build_view("b")]
    assert choose(views, excluded={"b"}) is None
    assert choose_least_loaded(views, excluded={"b"}) is None


def test_least_loaded_counts_online_and_batch_streams():
    views = [build_view("a", online=1, batch=4), build_view("b", online=2)]
    assert choose_least_loaded(views).name == "b"


@given(
    st.lists(
        st.tuples(st.integers(0, 16), st.integers(0, 8), st.booleans()),
        max_size=6,
    ),
    st.text(max_size=8),
)
def test_free_slot_is_used_when_there_is_one(loads, seed):
    views = [
        build_view(str(index), online=online, batch=batch, serving=serving)
        for index, (online, batch, serving) in enumerate(loads)
    ]
    free = {
        view.name
        for view in views
        if view.serving and view.online + view.batch < view.slots
    }
    name = choose(views, seed=seed)
    assert (name is None) == (not any(view.serving for view in views))
    assert not free or name in free
