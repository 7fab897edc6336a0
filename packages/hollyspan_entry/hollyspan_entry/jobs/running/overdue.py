"""Time limits of running and of preempted items."""

from .run import StopReason

__all__ = ["cancel_overdue", "expire_paused"]

# Must be shorter than the time for which engines retain cancelled streams.
MAX_PAUSE_S = 8.0


def cancel_overdue(runner, *, now):
    """Cancel the items that have exceeded their time limit.

    Parameters
    ----------
    runner : JobRunner
    now : float
        Monotonic seconds.
    """
    for chunk in list(runner.chunks.values()):
        limit = runner.read_limit("batch.item_timeout_seconds", chunk)
        for run in list(chunk.running):
            if run.item.run_seconds + now - run.started_at > limit:
                run.cancel(StopReason.TIMEOUT)


def expire_paused(runner, slots, *, now):
    """Handle preempted items whose stream cannot be resumed in time.

    Idempotent items are requeued when the engine is about to discard the
    stream or the upstream is not usable. Other items cannot be run again, so
    they are resumed and pinned just before the engine discards the stream.

    Parameters
    ----------
    runner : JobRunner
    slots : UpstreamSlots
    now : float
        Monotonic seconds.
    """
    usable = slots.owned and slots.is_usable
    for entry in list(slots.paused):
        chunk, item, since = entry
        if usable and now - since < MAX_PAUSE_S:
            continue
        if chunk.record.idempotent:
            slots.paused.remove(entry)
            runner.counters.redone_tokens += item.discard_attempt()
            chunk.requeue(item)
        elif now - since >= MAX_PAUSE_S and not chunk.stopped:
            # A non-idempotent item cannot be run again, so it is resumed even
            # if the batch gate would not allow it.
            slots.paused.remove(entry)
            item.pinned = True
            runner.start(slots, chunk, item, now=now)
