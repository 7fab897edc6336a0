"""Tests of the gateways that remember which version began a stream."""

from hypothesis import assume
from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.streams import choose_keepers
from hollyspan_policy.streams import choose_respondents
from hollyspan_policy.streams import find_scarce_versions

GATEWAYS = [f"{number:016x}" for number in range(390)]
STREAMS = st.integers(min_value=0, max_value=2**64 - 1)


@given(STREAMS, STREAMS, st.sets(st.sampled_from(GATEWAYS), max_size=3))
def test_a_gateway_asks_the_keepers_though_some_have_failed(
    stream, fingerprint, failed
):
    assume(stream != fingerprint)
    told = choose_keepers(stream, fingerprint, GATEWAYS[1:])
    live = [each for each in GATEWAYS[2:] if each not in failed]
    for key, count in ((stream, 3), (fingerprint, 2)):
        keepers = {name for name, keys in told.items() if key in keys}
        asked = set(choose_respondents(key, live))
        assert keepers & set(live) <= asked
        assert len(keepers) == count and len(asked) <= 8


def test_streams_are_kept_by_all_gateways_alike():
    gateways = GATEWAYS[:39]
    counts = dict.fromkeys(gateways, 0)
    for stream in range(13_000):
        for keeper in choose_keepers(stream, stream + 1, gateways):
            counts[keeper] += 1
    assert max(counts.values()) < 1.3 * min(counts.values())


def test_a_small_fleet_asks_everybody():
    assert set(choose_respondents(7, GATEWAYS[:9])) == set(GATEWAYS[:9])
    told = choose_keepers(7, 8, GATEWAYS[:9])
    assert len(told) == 3 and set(told.values()) == {(7, 8)}
    assert not choose_keepers(7, 8, []) and not choose_respondents(7, [])


def test_one_keeper_of_a_small_fleet_serves_no_clients():
    gateways, apart = GATEWAYS[:9], GATEWAYS[6:9]
    for stream in range(50):
        told = choose_keepers(stream, stream + 1, gateways, apart=apart)
        assert len(told) == 3 and set(told) & set(apart)
    assert len(choose_keepers(7, 8, GATEWAYS[:1], apart=GATEWAYS[:1])) == 1


def test_a_fleet_that_is_small_for_some_gateways_only_asks_everybody():
    told = choose_keepers(7, 8, GATEWAYS[:23])
    assert set(told) <= set(
        choose_respondents(7, GATEWAYS[1:27]) + GATEWAYS[:1]
    )


def test_versions_with_one_upstream_are_scarce_beside_others():
    assert find_scarce_versions({1: 2, 2: 1, 3: 1}) == {2, 3}
    assert find_scarce_versions({1: 1}) == set()
    assert find_scarce_versions({}) == set()
