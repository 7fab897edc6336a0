"""Policies to compare: that of the product and baselines."""

import enum
import math

from hollyspan_core.errors import OverloadedError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.hashing import hash_to_fraction
from hollyspan_policy.pace import choose_additive_pace
from hollyspan_policy.pace import choose_gradient_pace
from hollyspan_policy.pace import choose_pace
from hollyspan_policy.pace import choose_pace_by_time

__all__ = ["POLICIES", "RunPolicy", "LoadView"]

# Of the choice by peak latency.
INITIAL_LATENCY_S = 0.7
LATENCY_TIME_CONSTANT_S = 10.0


class LoadView(enum.Enum):
    """How gateways exchange their load."""

    # Each change is sent, together with loads that upstreams reported.
    NOTICES = "notices"
    # Only each gateway's own counts are sent, in heartbeats.
    HEARTBEATS = "heartbeats"
    # Nothing is sent; a gateway uses only the loads that upstreams report
    # with the answers to its own requests.
    REPORTS = "reports"
    # Each change reaches all gateways without delay, as if each upstream
    # had a single owner.
    EXACT = "exact"


class RunPolicy:
    """Policy of the gateways of a run.

    Parameters
    ----------
    choose_online : callable
        Called with a GatewayModel, the request's key, the names of upstreams
        tried and the seconds left; returns an Upstream or raises
        OverloadedError.
    choose_batch : callable
        Called with a GatewayModel, the item's key and whether it is urgent;
        returns an Upstream or None.
    preempts_batch : bool, optional
        Whether items are preempted where online requests need the slots.
    holds_requests : bool, optional
        Whether the gateway holds requests that would start late at an
        upstream.
    view : LoadView, optional
    uses_speeds : bool, optional
        Whether the gateways know the speeds of the engines.
    on_answer : callable, optional
        Called with a GatewayModel, the Upstream and the seconds from sending
        a request to the end of its answer.
    shares_capacity : bool, optional
        Whether workspaces get shares of the capacity.
    hold_seconds : float, optional
        Time for which a request of a workspace over its share is held before
        it is refused; infinite to hold it until a slot is free.
    keeps_queues : bool, optional
        Whether the queues of upstreams are kept for the workspaces within
        their shares.
    choose_pace : callable, optional
        See `hollyspan_policy.pace.choose_pace`; without it, upstreams that
        have started have no pace.
    """

    __slots__ = (
        "choose_online",
        "choose_batch",
        "preempts_batch",
        "holds_requests",
        "view",
        "uses_speeds",
        "on_answer",
        "shares_capacity",
        "hold_seconds",
        "keeps_queues",
        "choose_pace",
    )

    def __init__(
        self,
        *,
        choose_online,
        choose_batch,
        preempts_batch=True,
        holds_requests=True,
        view=LoadView.NOTICES,
        uses_speeds=True,
        on_answer=None,
        shares_capacity=True,
        hold_seconds=0.075,
        keeps_queues=True,
        choose_pace=None,
    ):
        self.choose_online = choose_online
        self.choose_batch = choose_batch
        self.preempts_batch = preempts_batch
        self.holds_requests = holds_requests
        self.view = view
        self.uses_speeds = uses_speeds
        self.on_answer = on_answer
        self.shares_capacity = shares_capacity
        self.hold_seconds = hold_seconds
        self.keeps_queues = keeps_queues
        self.choose_pace = choose_pace


def choose_as_product(gateway, key, tried, seconds_left):
    """Choose an upstream for an online request as the product does."""
    return gateway.placement.choose(
        gateway.service,
        key=key,
        excluded=tried,
        outcome=None,
        seconds_left=seconds_left,
    )


def list_untried(gateway, tried):
    """Return the usable upstreams that a request was not sent to."""
    usable = [
        upstream
        for upstream in gateway.directory.list_usable(gateway.service)
        if upstream.entry.name not in tried
    ]
    if not usable:
        raise OverloadedError("no upstream is left", outcome=None)
    return usable


def count_load(upstream):
    return upstream.count_online() + upstream.count_batch()


def choose_least_loaded(gateway, key, tried, seconds_left):
    """Choose the upstream with the fewest streams, even without free slots."""
    return min(
        list_untried(gateway, tried),
        key=lambda each: (
            count_load(each),
            hash_parts(key, each.entry.name),
        ),
    )


def draw_two(gateway, key, tried):
    """Return two upstreams that the request's key selects."""
    usable = list_untried(gateway, tried)
    return sorted(usable, key=lambda each: hash_parts(key, each.entry.name))[
        :2
    ]


def choose_of_two(gateway, key, tried, seconds_left):
    """Choose the upstream with fewer streams of two."""
    return min(draw_two(gateway, key, tried), key=count_load)


def choose_in_turn(gateway, key, tried, seconds_left):
    """Choose the upstreams in turn, as often as they are fast.

    The upstream with the highest credit is chosen, and pays one turn.
    """
    now = gateway.clock.now
    usable = list_untried(gateway, tried)
    credits = gateway.policy_state
    total = 0.0
    for each in usable:
        weight = 1 / gateway.placement.speeds.estimate(each, now=now)
        total += weight
        name = each.entry.name
        # Gateways begin at different upstreams.
        start = hash_to_fraction(gateway.identifier, name)
        credits[name] = credits.get(name, start) + weight
    chosen = max(usable, key=lambda each: credits[each.entry.name])
    credits[chosen.entry.name] -= total
    return chosen


def choose_by_latency(gateway, key, tried, seconds_left):
    """Choose by peak latency and own requests in flight, of two."""

    def compute_cost(upstream):
        latency, at = gateway.policy_state.get(
            upstream.entry.name, (INITIAL_LATENCY_S, 0.0)
        )
        fading = math.exp((at - gateway.clock.now) / LATENCY_TIME_CONSTANT_S)
        return latency * fading * (upstream.online + 1)

    return min(draw_two(gateway, key, tried), key=compute_cost)


def note_latency(gateway, upstream, seconds):
    """Update the peak latency of an upstream: up at once, down slowly."""
    now = gateway.clock.now
    latency, at = gateway.policy_state.get(
        upstream.entry.name, (INITIAL_LATENCY_S, now)
    )
    fading = math.exp((at - now) / LATENCY_TIME_CONSTANT_S)
    smoothed = latency * fading + seconds * (1 - fading)
    gateway.policy_state[upstream.entry.name] = max(seconds, smoothed), now


def choose_free_slot(gateway, key, is_urgent):
    """Choose an upstream for an item as the product does."""
    return gateway.batch_placement.choose(
        gateway.service,
        key=key,
        is_urgent=is_urgent,
        find_rank=gateway.find_rank,
    )


def choose_without_turns(gateway, key, is_urgent):
    """Choose an upstream for an item as if no other gateway ran items."""
    return gateway.batch_placement.choose(
        gateway.service,
        key=key,
        is_urgent=is_urgent,
        find_rank=lambda upstream: (0, 1),
    )


def choose_none(gateway, key, is_urgent):
    """Run no batch work."""
    return None


def choose_as_online(gateway, key, is_urgent):
    """Choose an upstream for an item as for an online request."""
    try:
        return choose_as_product(gateway, key, (), float("inf"))
    except OverloadedError:
        return None


POLICIES = {
    "chosen": RunPolicy(
        choose_online=choose_as_product, choose_batch=choose_free_slot
    ),
    "without_holding": RunPolicy(
        choose_online=choose_as_product,
        choose_batch=choose_free_slot,
        holds_requests=False,
    ),
    "least_load": RunPolicy(
        choose_online=choose_least_loaded,
        choose_batch=choose_free_slot,
        holds_requests=False,
    ),
    "without_speeds": RunPolicy(
        choose_online=choose_as_product,
        choose_batch=choose_free_slot,
        uses_speeds=False,
    ),
    "two_choices": RunPolicy(
        choose_online=choose_of_two,
        choose_batch=choose_free_slot,
        holds_requests=False,
    ),
    "weighted_turns": RunPolicy(
        choose_online=choose_in_turn,
        choose_batch=choose_free_slot,
        holds_requests=False,
    ),
    "peak_latency": RunPolicy(
        choose_online=choose_by_latency,
        choose_batch=choose_free_slot,
        holds_requests=False,
        on_answer=note_latency,
    ),
    "without_turns": RunPolicy(
        choose_online=choose_as_product, choose_batch=choose_without_turns
    ),
    "without_shares": RunPolicy(
        choose_online=choose_as_product,
        choose_batch=choose_free_slot,
        shares_capacity=False,
    ),
    "shares_and_holding": RunPolicy(
        choose_online=choose_as_product,
        choose_batch=choose_free_slot,
        hold_seconds=math.inf,
    ),
    "no_batch": RunPolicy(
        choose_online=choose_as_product, choose_batch=choose_none
    ),
    **{
        f"pace_{name}": RunPolicy(
            choose_online=choose_as_product,
            choose_batch=choose_free_slot,
            choose_pace=step,
        )
        for name, step in {
            "chosen": choose_pace,
            "additive": choose_additive_pace,
            "gradient": choose_gradient_pace,
            "by_time": choose_pace_by_time,
        }.items()
    },
    **{
        f"view_{view.value}": RunPolicy(
            choose_online=choose_as_product,
            choose_batch=choose_free_slot,
            view=view,
        )
        for view in (LoadView.HEARTBEATS, LoadView.REPORTS, LoadView.EXACT)
    },
    "batch_as_online": RunPolicy(
        choose_online=choose_as_product,
        choose_batch=choose_as_online,
        preempts_batch=False,
    ),
}
