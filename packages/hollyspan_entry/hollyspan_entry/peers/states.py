"""Conversion between members and the states in messages."""

from hollyspan_core.messages import DaemonState
from hollyspan_policy.membership import Member

__all__ = ["build_member", "build_remote", "describe_self"]


def build_member(remote, *, last_seen, timeout):
    """Return the member that a message describes.

    Parameters
    ----------
    remote : DaemonState
    last_seen : float
        Monotonic seconds.
    timeout : float or None
        Seconds of silence after which it counts as failed.

    Returns
    -------
    Member
    """
    return Member(
        instance=remote.instance,
        data_centre=remote.data_centre,
        region=remote.region,
        incarnation=remote.incarnation,
        sequence=remote.sequence,
        address=remote.peer_address,
        peer_port=remote.peer_port,
        http_port=remote.http_port,
        leaving=remote.leaving,
        generation=remote.generation,
        free_slots=remote.free_slots,
        last_seen=last_seen,
        timeout=timeout,
    )


def build_remote(member):
    """Return what a message tells of a member.

    Parameters
    ----------
    member : Member

    Returns
    -------
    DaemonState
    """
    return DaemonState(
        instance=member.instance,
        data_centre=member.data_centre,
        region=member.region,
        incarnation=member.incarnation,
        sequence=member.sequence,
        leaving=member.leaving,
        generation=member.generation,
        peer_address=member.address,
        peer_port=member.peer_port,
        http_port=member.http_port,
        free_slots=member.free_slots,
    )


def describe_self(runtime, *, sequence):
    """Return the state of this daemon.

    Parameters
    ----------
    runtime : Runtime
    sequence : int
        Number of the heartbeat.

    Returns
    -------
    DaemonState
    """
    settings = runtime.settings
    current = runtime.configurations.current
    return DaemonState(
        instance=settings.instance,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=runtime.incarnation,
        sequence=sequence,
        leaving=runtime.draining,
        generation=current.generation if current else 0,
        peer_address=settings.peer_address,
        peer_port=settings.peer_port,
        http_port=settings.http_port,
        free_slots=count_free_slots(runtime),
    )


def count_free_slots(runtime):
    data_centre = runtime.settings.data_centre
    return sum(
        max(0, upstream.slots - upstream.count_online() - upstream.waiting)
        for upstream in runtime.upstreams.by_name.values()
        if upstream.kind == "engine"
        and upstream.data_centre == data_centre
        and upstream.reachable
        and not upstream.leaving
    )
