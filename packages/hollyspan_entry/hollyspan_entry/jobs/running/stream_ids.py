"""Assignment of stream identifiers to items."""

from ...streams import build_batch_stream_id

__all__ = ["assign_stream"]


def assign_stream(runtime, run):
    """Assign a stream to a run.

    A new attempt gets a new stream identifier; a preempted attempt keeps the
    one that it has.

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
        item.start_attempt(stream_id=stream_id, upstream=upstream.name)
    run.stream_number = item.stream_number
    upstream.streams.add(run.stream_number)
