"""Tests of entries that expire in an outage."""

import pytest

from hollyspan_policy.leases import choose_expired_services


@pytest.mark.parametrize(
    ("listed", "vanished", "expected"),
    [
        ({"m": 2}, {"m": 1}, set()),
        ({"m": 2}, {"m": 2}, {"m"}),
        ({"m": 4}, {"m": 2}, {"m"}),
        ({"m": 5}, {"m": 2}, set()),
        ({"m": 1}, {"m": 1}, {"m"}),
        ({"m": 10, "n": 2}, {"m": 2, "n": 1}, set()),
        ({"m": 10, "n": 2}, {"m": 2, "n": 2}, {"n"}),
        ({"m": 10, "n": 2}, {"m": 5, "n": 1}, {"m", "n"}),
    ],
)
def test_most_entries_or_the_last_of_a_service_have_expired(
    listed, vanished, expected
):
    assert choose_expired_services(listed, vanished) == expected
