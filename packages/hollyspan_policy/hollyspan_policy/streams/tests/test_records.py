"""Tests of the records of versions."""

import pytest

from hollyspan_policy.streams import choose_only_version
from hollyspan_policy.streams import choose_write_delay
from hollyspan_policy.streams import is_record_expired

TTL_S = 120.0


@pytest.mark.parametrize("count", [1, 2, 3, 12, 390])
def test_three_gateways_write_a_record_one_after_the_other(count):
    gateways = [f"g{number}" for number in range(count)]
    for key in range(20):
        delays = [
            choose_write_delay(key, each, [o for o in gateways if o != each])
            for each in gateways
        ]
        writers = sorted(delay for delay in delays if delay is not None)
        assert writers == [0.0, 1.0, 2.0][:count]


@pytest.mark.parametrize(
    ("recorded", "served", "version"),
    [
        ((5,), (5,), 5),
        ((5,), (), 5),
        ((5, 6), (5,), None),
        ((5,), (6,), None),
        ((5,), (5, 6), None),
        ((), (5,), None),
        ((), (), None),
    ],
)
def test_only_a_single_recorded_version_is_chosen(recorded, served, version):
    assert choose_only_version(recorded, served) == version


@pytest.mark.parametrize(
    ("unserved_seconds", "age", "is_expired"),
    [
        (TTL_S + 1.0, TTL_S + 6.0, True),
        (TTL_S - 1.0, TTL_S + 600.0, False),
        (TTL_S + 1.0, TTL_S + 4.0, False),
        (TTL_S + 1.0, -4.0, False),
    ],
)
def test_a_record_expires_when_no_stream_is_remembered(
    unserved_seconds, age, is_expired
):
    assert (
        is_record_expired(
            unserved_seconds=unserved_seconds, age=age, ttl=TTL_S
        )
        is is_expired
    )
