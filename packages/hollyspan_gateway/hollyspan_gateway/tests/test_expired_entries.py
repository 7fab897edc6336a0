"""Tests of upstreams whose entries disappear together."""

import pytest


def test_upstreams_are_kept_for_less_after_a_change_that_is_older(
    gateway, reactor
):
    mirror = gateway.upstreams_mirror
    mirror.entries = {}
    mirror.change_age = 0.4
    gateway.apply_upstreams(mirror)
    kept = [
        upstream.kept_until - reactor.seconds()
        for upstream in gateway.directory.upstreams.values()
    ]
    assert kept == [pytest.approx(1.8)] * 2
