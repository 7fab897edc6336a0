"""Identifiers of the streams of items."""

from ...streams import build_batch_stream_id

__all__ = ["assign_stream"]


def assign_stream(runtime, run):
    """Begin an attempt, or go on with the one that was preempted.

    Parameters
    ----------
    runtime : Runtime
    run : Run
    """
    item = run.item
    upstream = run.upstream
    if item.stream_id is None:
        item.stream_number = upstream.assign_batch_stream_number()
        stream_id = build_batch_stream_id(
            instance=runtime.settings.instance,
            incarnation=runtime.incarnation,
            upstream=upstream.name,
            number=item.stream_number,
        )
        item.begin(stream_id=stream_id, upstream=upstream.name)
    run.stream_number = item.stream_number
    upstream.streams.add(run.stream_number)
