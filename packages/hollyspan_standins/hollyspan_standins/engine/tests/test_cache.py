"""Tests of the prefix cache."""

from hollyspan_standins.engine.cache import PrefixCache


def build(capacity):
    events = []
    cache = PrefixCache(
        capacity=capacity, publish=lambda *event: events.append(event)
    )
    return events, cache


def test_a_prefix_matches_up_to_the_first_gap():
    _, cache = build(10)
    cache.store(["a", "b"])
    assert cache.match(["a", "b", "c"]) == 2
    assert cache.match(["x", "b"]) == 0


def test_the_least_recently_used_block_is_evicted_first():
    events, cache = build(2)
    cache.store(["a", "b"])
    cache.match(["a"])
    cache.store(["c"])
    assert list(cache.blocks) == ["a", "c"]
    assert events[-1] == ("evicted", "b")


def test_a_block_is_stored_once():
    events, cache = build(2)
    cache.store(["a"])
    cache.store(["a"])
    assert events == [("stored", "a")]
