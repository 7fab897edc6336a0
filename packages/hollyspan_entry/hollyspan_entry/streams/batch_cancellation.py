"""Cancellation of batch streams that an unresponsive daemon runs."""

import eliot

from hollyspan_policy.batch import choose_orphaned_streams

from .cancellation import send_cancel
from .names import build_batch_stream_id

__all__ = ["cancel_peer_batch_streams"]

# Minimum time between two cancellation rounds for one daemon's streams, each
# of which is some tens of calls to the engine.
MIN_ROUND_INTERVAL_S = 0.25


def cancel_peer_batch_streams(runtime, *, upstream, instance):
    """Cancel the batch streams that a daemon runs on an upstream.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    instance : str
        Daemon that does not answer.

    Returns
    -------
    float
        Seconds until the next round if the last one was too short ago for
        another now, else 0.

    Notes
    -----
    A daemon that is still live treats the cancelled streams as preempted and
    resumes them later, so an unnecessary round loses no results.
    """
    now = runtime.reactor.seconds()
    streams = get_peer_streams(runtime, upstream, instance)
    if streams is None:
        return 0.0
    remaining = streams.last_cancelled_at + MIN_ROUND_INTERVAL_S - now
    if remaining > 0:
        return remaining
    streams.last_cancelled_at = now
    numbers = choose_orphaned_streams(
        streams.running, highest=streams.highest, slots=upstream.slots
    )
    eliot.log_message(
        message_type="streams:freed",
        upstream=upstream.name,
        instance=instance,
        count=len(streams.running),
    )
    # Their slots are freed; later rounds need not cancel them again.
    streams.running = ()
    for number in numbers:
        stream_id = build_batch_stream_id(
            instance=instance,
            incarnation=streams.incarnation,
            upstream=upstream.name,
            number=number,
        )
        send_cancel(runtime, upstream=upstream, stream_id=stream_id)
    return 0.0


def get_peer_streams(runtime, upstream, instance):
    """Return the streams of a daemon, or None when it is not a member."""
    streams = upstream.peer_streams.get(instance)
    if streams is not None:
        return streams
    member = runtime.members.members.get(instance)
    if member is None:
        return None
    return upstream.update_peer_streams(
        instance, incarnation=member.incarnation, highest=0, running=()
    )
