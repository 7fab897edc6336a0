"""Status of this daemon, its peers and the upstreams."""

import time

from .fleet import list_other_daemons
from .fleet import query_fleet

__all__ = ["describe_daemon", "describe_fleet"]


def describe_daemon(runtime):
    """Return the state of this daemon as a JSON object.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    dict
    """
    settings = runtime.settings
    current = runtime.configurations.current
    return {
        "instance": settings.instance,
        "data_centre": settings.data_centre,
        "generation": current.generation if current else 0,
        "state": "leaving" if runtime.draining else "serving",
        "incarnation": runtime.incarnation,
    }


async def describe_fleet(runtime):
    """Return the status of the fleet as seen by this daemon.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    dict
        State of this daemon, store calls, peer traffic, all members with
        generation and state, and the upstreams with state and load.

    Notes
    -----
    The generation of a live daemon is known from its heartbeats; the other
    daemons in the instance list are queried. Those that do not answer have
    the state ``silent`` and their last known generation, or 0.
    """
    now = time.monotonic()
    return {
        **describe_daemon(runtime),
        "members": await list_members(runtime, now=now),
        "upstreams": list_upstreams(runtime),
        "store": {"calls": dict(runtime.store.calls)},
        "peers": runtime.peer_counters.to_json(),
    }


async def list_members(runtime, *, now):
    members = runtime.members.list_live(now=now, leaving=True)
    live = {member.instance: member for member in members}
    live.pop(runtime.settings.instance, None)
    descriptions = [describe_daemon(runtime)]
    descriptions.extend(describe_member(member) for member in live.values())
    others = [
        target
        for target in list_other_daemons(runtime, now=now)
        if target.instance not in live
    ]
    answers = await query_fleet(runtime, others, kind="status")
    for target in others:
        answer = answers.documents.get(target.instance)
        descriptions.append(answer or describe_silent_daemon(runtime, target))
    return sorted(descriptions, key=lambda member: member["instance"])


def describe_member(member):
    return {
        "instance": member.instance,
        "data_centre": member.data_centre,
        "generation": member.generation,
        "state": "leaving" if member.leaving else "serving",
        "incarnation": member.incarnation,
    }


def describe_silent_daemon(runtime, target):
    last_state = runtime.members.members.get(target.instance)
    return {
        "instance": target.instance,
        "data_centre": target.data_centre,
        "generation": last_state.generation if last_state else 0,
        "state": "silent",
        "incarnation": last_state.incarnation if last_state else 0,
    }


def list_upstreams(runtime):
    upstreams = runtime.upstreams.by_name
    return [describe_upstream(upstreams[name]) for name in sorted(upstreams)]


def describe_upstream(upstream):
    state = "serving" if upstream.reachable else "unreachable"
    return {
        "name": upstream.name,
        "kind": upstream.kind,
        "service": upstream.service,
        "data_centre": upstream.data_centre,
        "state": "leaving" if upstream.leaving else state,
        "slots": upstream.slots,
        "online": upstream.count_online(),
        "batch": upstream.count_batch(),
        "waiting": upstream.waiting,
    }
