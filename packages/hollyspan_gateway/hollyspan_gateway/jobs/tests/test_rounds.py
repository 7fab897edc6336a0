"""Tests of what a round of starts costs."""

import pytest

from hollyspan_gateway.upstreams.batch_placement import BatchPlacement

from .test_worker import batch_route  # noqa: F401
from .test_worker import build_worker  # noqa: F401
from .test_worker import submit  # noqa: F401


# Failure: a worker compared all upstreams again for each item that waited for
# a place, ten times a second.
@pytest.mark.parametrize("count", [10, 400])
def test_a_round_looks_for_places_as_often_as_items_differ(
    build_worker, submit, reactor, monkeypatch, count  # noqa: F811
):
    gateway = build_worker(upstreams=("u1",), slots=2)
    submit(count)
    searches = []
    choose = BatchPlacement.choose

    def note_search(placement, service, **options):
        searches.append(service)
        return choose(placement, service, **options)

    monkeypatch.setattr(BatchPlacement, "choose", note_search)
    gateway.worker.start_items()
    assert len(gateway.worker.running) == 2
    assert len(searches) == 1


def test_a_place_that_becomes_free_is_found_in_the_next_round(
    build_worker, submit, reactor, helpers  # noqa: F811
):
    gateway = build_worker(upstreams=("u1",), slots=2)
    submit(4)
    first = gateway.pool.last
    first.answer(200, body=helpers.build_events(1, 3))
    reactor.advance(0.1)
    assert gateway.pool.last is not first
    assert len(gateway.worker.running) == 2
