"""Tests of the end of an item's route."""

import pytest

from hollyspan_policy.batch import has_route_ended


@pytest.mark.parametrize(
    ("read_up_to", "is_complete", "expected"),
    [(7, True, False), (8, True, True), (9, True, True), (9, False, False)],
)
def test_only_a_complete_copy_that_is_new_enough_shows_an_end(
    read_up_to, is_complete, expected
):
    assert (
        has_route_ended(
            accepted_at=8, read_up_to=read_up_to, is_complete=is_complete
        )
        is expected
    )
