"""Policies that a run compares: the product's and its baselines."""

import enum

from hollyspan_core.errors import OverloadedError
from hollyspan_policy.hashing import hash_parts

__all__ = ["POLICIES", "RunPolicy", "View"]


class View(enum.Enum):
    """How gateways learn of each other's load."""

    # Each change is told, and what upstreams report is passed on.
    NOTICES = "notices"
    # Only counts in heartbeats.
    HEARTBEATS = "heartbeats"
    # Only what upstreams report with answers to the own requests.
    REPORTS = "reports"
    # All know all at once, as one owner of each upstream would.
    EXACT = "exact"


class RunPolicy:
    """What the gateways of a run decide by.

    Parameters
    ----------
    choose_online : callable
        Called with a GatewayModel, the request's key, the names of upstreams
        tried and the seconds left; returns an Upstream or raises
        OverloadedError.
    choose_batch : callable
        Called with a GatewayModel, the item's key and whether it is urgent;
        returns an Upstream or None.
    gives_way : bool, optional
        Whether items are stopped where online requests need the slots.
    holds : bool, optional
        Whether requests that would begin late wait at the gateway.
    view : View, optional
    """

    __slots__ = ("choose_online", "choose_batch", "gives_way", "holds", "view")

    def __init__(
        self,
        *,
        choose_online,
        choose_batch,
        gives_way=True,
        holds=True,
        view=View.NOTICES,
    ):
        self.choose_online = choose_online
        self.choose_batch = choose_batch
        self.gives_way = gives_way
        self.holds = holds
        self.view = view


def choose_placed(gateway, key, tried, seconds_left):
    """Choose as the product does."""
    return gateway.placement.choose(
        gateway.service,
        key=key,
        excluded=tried,
        outcome=None,
        seconds_left=seconds_left,
    )


def choose_least_loaded(gateway, key, tried, seconds_left):
    """Choose the upstream with the fewest streams in flight, and queue."""
    usable = [
        upstream
        for upstream in gateway.directory.list_usable(gateway.service)
        if upstream.entry.name not in tried
    ]
    if not usable:
        raise OverloadedError("no upstream is left", outcome=None)

    def rank(upstream):
        name = upstream.entry.name
        load = upstream.count_online() + upstream.count_batch()
        return load, hash_parts(key, name)

    return min(usable, key=rank)


def choose_free_slot(gateway, key, is_urgent):
    """Choose for an item as the product does."""
    return gateway.batch_placement.choose(
        gateway.service,
        key=key,
        is_urgent=is_urgent,
        find_rank=gateway.find_rank,
    )


def choose_any_free_slot(gateway, key, is_urgent):
    """Choose for an item without turns between the gateways."""
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
    """Send an item as an online request is sent."""
    try:
        return choose_placed(gateway, key, (), float("inf"))
    except OverloadedError:
        return None


POLICIES = {
    "chosen": RunPolicy(
        choose_online=choose_placed, choose_batch=choose_free_slot
    ),
    "without_holding": RunPolicy(
        choose_online=choose_placed,
        choose_batch=choose_free_slot,
        holds=False,
    ),
    "least_load": RunPolicy(
        choose_online=choose_least_loaded,
        choose_batch=choose_free_slot,
        holds=False,
    ),
    "without_turns": RunPolicy(
        choose_online=choose_placed, choose_batch=choose_any_free_slot
    ),
    "no_batch": RunPolicy(
        choose_online=choose_placed, choose_batch=choose_none
    ),
    **{
        f"view_{view.value}": RunPolicy(
            choose_online=choose_placed,
            choose_batch=choose_free_slot,
            view=view,
        )
        for view in (View.HEARTBEATS, View.REPORTS, View.EXACT)
    },
    "batch_as_online": RunPolicy(
        choose_online=choose_placed,
        choose_batch=choose_as_online,
        gives_way=False,
    ),
}
