"""Tests of the link to one upstream."""

import pytest

from hollyspan_gateway.upstreams.link import Link


# Failure: a reset that bytes over a new connection have answered counts on,
# or bytes over an older connection hide that new ones are reset.
@pytest.mark.parametrize(
    ("opened_at", "closes"), [(9.0, True), (10.0, True), (10.1, False)]
)
def test_bytes_over_connections_opened_after_a_reset_clear_it(
    opened_at, closes
):
    link = Link()
    link.note_broken_off(now=10.0, seed="u1", is_closed=True)
    link.note_broken_off(now=10.0, seed="u1", is_closed=False)
    link.note_data(now=10.2, opened_at=opened_at)
    assert link.closes is closes
    assert not link.is_broken
    link.restore(now=10.3)
    assert not link.closes
