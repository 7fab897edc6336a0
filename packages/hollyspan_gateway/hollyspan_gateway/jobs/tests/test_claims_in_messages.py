"""Tests of what workers tell of items, in fleets with many of them."""

import pytest

from hollyspan_gateway.jobs import claims
from hollyspan_gateway.peers import encode_message
from hollyspan_gateway.peers import FleetMessage

from ...tests.test_faulty_upstreams import send_malformed_head
from .test_succession import fleet  # noqa: F401
from .test_succession import list_sent
from .test_succession import submit  # noqa: F401

# Content of an UDP datagram that is not fragmented in an Ethernet.
MAX_DATAGRAM_BYTES = 1_472


# Failure: in fleets whose items fail and wait for their next runs, heartbeats
# of some kilobytes went to each worker, in several fragments each.
@pytest.mark.parametrize("count", [100, 2000])
def test_messages_with_items_that_wait_fit_into_a_datagram(
    fleet, submit, count, reactor  # noqa: F811
):
    submit(count)
    for upstream in list(fleet.upstreams):
        fleet.faults[upstream] = send_malformed_head
    fleet.advance(10.0)
    sizes = [
        len(
            encode_message(
                FleetMessage(
                    sender=1,
                    incarnation=1,
                    sequence=1,
                    loads=(),
                    is_full=True,
                    **gateway.worker.describe(),
                )
            )
        )
        for gateway in fleet.gateways[:4]
    ]
    assert max(sizes) <= MAX_DATAGRAM_BYTES, sizes


# Failure: each worker named each job in which it owned no item as finished,
# and the names of those that it had finished did not fit.
def test_workers_name_only_jobs_with_items_of_their_own(
    fleet, submit  # noqa: F811
):
    for number in range(12):
        submit(1, name=f"j{number}-")
    fleet.advance(3.0)
    for gateway in fleet.gateways[:4]:
        identifier = gateway.peers.identifier
        owned = sum(
            state.owner == identifier
            for job_state in gateway.worker.catalogue.jobs.values()
            for state in job_state.items.values()
        )
        finished = gateway.worker.claims.list_finished()
        assert len(finished) <= owned


# Failure: the items beyond the limit on those named were run by others, too,
# as if nobody had begun them.
def test_items_beyond_the_limit_on_claims_are_run_no_more_often(
    fleet, submit, monkeypatch, reactor  # noqa: F811
):
    for upstream in list(fleet.upstreams):
        fleet.faults[upstream] = send_malformed_head
    submit(24, name="a")
    fleet.advance(30.0)
    usual = len(list_sent(fleet))
    for job_state in fleet.gateways[0].worker.catalogue.jobs.values():
        assert len(job_state.items) == 24
    monkeypatch.setattr(claims, "MAX_WAITING_CLAIMS", 0)
    for gateway in fleet.gateways[:4]:
        for job_state in gateway.worker.catalogue.jobs.values():
            job_state.is_ended = True
    submit(24, name="b")
    fleet.advance(30.0)
    assert len(list_sent(fleet)) - usual <= 1.2 * usual
