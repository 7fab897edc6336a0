"""Refusal of requests beyond their workspace's share of too little room."""

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_policy.admission import choose_priority
from hollyspan_policy.admission import has_come_back
from hollyspan_policy.admission import measure_work
from hollyspan_policy.admission import rank_held_request

__all__ = [
    "build_refusal",
    "find_hold_limit",
    "measure_queueing_time",
    "rank_relay",
    "require_share",
]

# Part of the latency target for which a request is held before it is refused:
# it can then still be served in time when it comes again.
MAX_HELD_PART = 0.25


def require_share(relay):
    """Refuse a new request if its workspace's share does not cover it.

    Parameters
    ----------
    relay : Relay

    Raises
    ------
    OverloadedError

    Notes
    -----
    The gateway that takes a request from its client decides. The rest of a
    stream that has begun is never refused.
    """
    if relay.workspace is None or relay.is_forwarded or relay.is_resumed():
        return
    if not relay.gateway.shares.may_serve(
        relay.workspace,
        relay.service,
        work=measure_work(
            prompt_tokens=relay.head.prompt_tokens,
            output_tokens=relay.head.output_tokens,
        ),
        seed=relay.head.identifier,
    ):
        raise build_refusal(
            relay,
            reason="over_share",
            message="its workspace asks for more than its share",
        )


def build_refusal(relay, *, reason, message):
    """Return the error that refuses a request for lack of room.

    Parameters
    ----------
    relay : Relay
    reason : str
        Label of the metric.
    message : str

    Returns
    -------
    OverloadedError
    """
    gateway = relay.gateway
    gateway.metrics.count_refusal(reason)
    return OverloadedError(
        message,
        outcome=Outcome.NOT_RUN,
        retry_after=gateway.shares.choose_return_delay(
            relay.service,
            seconds_left=relay.measure_time_left(),
            seed=relay.head.identifier,
        ),
    )


def rank_relay(relay):
    """Return the sort key of a held request; the first one is sent first."""
    return rank_held_request(
        priority=choose_priority(relay.workspace, relay.route),
        is_over_share=relay.gateway.shares.is_over(
            relay.workspace, relay.service
        ),
        deadline=relay.deadline,
    )


def measure_queueing_time(relay):
    """Return for how long a request may wait in an upstream's queue.

    Parameters
    ----------
    relay : Relay

    Returns
    -------
    float
        Seconds until its latency target; none if its workspace asks for more
        than its share. Such a request waits for a free slot, so that the
        queues are left to the others.
    """
    if relay.gateway.shares.is_over(relay.workspace, relay.service):
        return 0.0
    return relay.target_at - relay.gateway.reactor.seconds()


def find_hold_limit(relay):
    """Return until when to hold a request before it is refused.

    Parameters
    ----------
    relay : Relay

    Returns
    -------
    float or None
        Reactor seconds; None to hold it until a slot is free, as one within
        its workspace's share or one that will not come again.
    """
    shares = relay.gateway.shares
    if relay.is_forwarded or not shares.is_over(
        relay.workspace, relay.service
    ):
        return None
    arrived_at = relay.request.arrived_at
    if has_come_back(
        seconds_left=relay.deadline - arrived_at,
        timeout=relay.route.timeout,
    ):
        return None
    return arrived_at + MAX_HELD_PART * relay.route.latency_target
