"""Tests of checks of values that other programs have written."""

import math

import pytest

from hollyspan_core.values import parse_address
from hollyspan_core.values import require_number
from hollyspan_core.values import require_positive
from hollyspan_core.values import UNREADABLE


@pytest.mark.parametrize("value", [None, "1", True, [], math.nan, -math.inf])
@pytest.mark.parametrize("check", [require_number, require_positive])
def test_a_value_that_is_no_finite_number_is_refused(check, value):
    with pytest.raises(UNREADABLE):
        check(value)


def test_numbers_are_returned():
    assert [require_number(value) for value in (-1, 0, 2.5)] == [-1, 0, 2.5]
    assert require_positive(0.5) == 0.5
    for value in (0, -1, -0.5):
        with pytest.raises(UNREADABLE):
            require_positive(value)


@pytest.mark.parametrize(
    "text", ["", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "name:80", None]
)
def test_an_address_that_cannot_be_connected_to_is_refused(text):
    with pytest.raises(UNREADABLE):
        parse_address(text)


def test_an_address_is_split():
    assert parse_address("10.0.0.1:80") == ("10.0.0.1", 80)
