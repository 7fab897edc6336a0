"""Cancellation of batch streams that another daemon runs."""

import time

import eliot

from hollyspan_policy.batch import choose_orphaned_streams

from .cancellation import send_cancel
from .names import build_batch_stream_id

__all__ = ["free_batch_streams"]

# Least time between two rounds against one daemon's streams.
ROUND_SECONDS = 0.25


def free_batch_streams(runtime, *, upstream, instance):
    """Cancel the batch streams that a daemon runs on an upstream.

    Parameters
    ----------
    runtime : Runtime
    upstream : Upstream
    instance : str
        A daemon that does not answer.

    Notes
    -----
    A daemon that lives takes its streams for preempted and resumes them
    later, so a needless round costs no result.
    """
    now = time.monotonic()
    streams = find_streams(runtime, upstream, instance)
    if streams is None or now - streams.freed < ROUND_SECONDS:
        return
    streams.freed = now
    numbers = choose_orphaned_streams(
        streams.running, highest=streams.highest, slots=upstream.slots
    )
    eliot.log_message(
        message_type="streams:freed",
        upstream=upstream.name,
        instance=instance,
        count=len(streams.running),
    )
    # Their slots are free now; later rounds need not name them again.
    streams.running = ()
    for number in numbers:
        stream_id = build_batch_stream_id(
            instance=instance,
            incarnation=streams.incarnation,
            upstream=upstream.name,
            number=number,
        )
        send_cancel(runtime, upstream=upstream, stream_id=stream_id)


def find_streams(runtime, upstream, instance):
    streams = upstream.peer_streams.get(instance)
    if streams is not None:
        return streams
    member = runtime.members.members.get(instance)
    if member is None:
        return None
    return upstream.note_peer_streams(
        instance, incarnation=member.incarnation, highest=0, running=()
    )
