"""Conversion between members and the daemon states in messages."""

from hollyspan_core.messages import DaemonState
from hollyspan_policy.membership import Member

__all__ = ["build_member", "build_daemon_state", "describe_self"]


def build_member(state, *, last_seen, timeout):
    """Build a member from a daemon state.

    Parameters
    ----------
    state : DaemonState
    last_seen : float
        Time of the last message, in monotonic seconds.
    timeout : float or None
        Seconds of silence after which the member counts as failed.

    Returns
    -------
    Member
    """
    return Member(
        instance=state.instance,
        data_centre=state.data_centre,
        region=state.region,
        incarnation=state.incarnation,
        sequence=state.sequence,
        address=state.peer_address,
        peer_port=state.peer_port,
        http_port=state.http_port,
        leaving=state.leaving,
        generation=state.generation,
        free_slots=state.free_slots,
        last_seen=last_seen,
        timeout=timeout,
    )


def build_daemon_state(member):
    """Build the daemon state of a member.

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
        Sequence number of the heartbeat.

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
