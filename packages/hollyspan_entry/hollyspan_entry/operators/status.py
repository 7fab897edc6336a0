"""State of this daemon and of those that it knows."""

import time

from .fleet import ask_fleet
from .fleet import list_others

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
    """Return what the operators' status shows.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    dict
        This daemon, the store, all members with generation and state, and
        the upstreams with state and loads.

    Notes
    -----
    Heartbeats tell the generation of the daemons that are heard; the others
    in the instance list are asked. Those that do not answer are shown as
    ``silent`` with the last generation known, or 0.
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
    heard = {member.instance: member for member in members}
    heard.pop(runtime.settings.instance, None)
    shown = [describe_daemon(runtime)]
    shown.extend(describe_member(member) for member in heard.values())
    unheard = [
        target
        for target in list_others(runtime, now=now)
        if target.instance not in heard
    ]
    answers = await ask_fleet(runtime, unheard, kind="status")
    for target in unheard:
        answer = answers.documents.get(target.instance)
        shown.append(answer or describe_silent(runtime, target))
    return sorted(shown, key=lambda member: member["instance"])


def describe_member(member):
    return {
        "instance": member.instance,
        "data_centre": member.data_centre,
        "generation": member.generation,
        "state": "leaving" if member.leaving else "serving",
        "incarnation": member.incarnation,
    }


def describe_silent(runtime, target):
    known = runtime.members.members.get(target.instance)
    return {
        "instance": target.instance,
        "data_centre": target.data_centre,
        "generation": known.generation if known else 0,
        "state": "silent",
        "incarnation": known.incarnation if known else 0,
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
