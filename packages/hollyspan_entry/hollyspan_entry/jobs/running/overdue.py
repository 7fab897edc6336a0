"""Items that have run or waited for too long."""

from .run import StopReason

__all__ = ["cancel_overdue", "expire_paused"]

# Shorter than the time for which engines keep a cancelled stream.
MAX_PAUSE_S = 8.0


def cancel_overdue(runner, *, now):
    """Stop the items that have run for longer than they may.

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
    """Give up resuming streams that the engine is about to forget.

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
            runner.counters.redone_tokens += item.reset()
            chunk.requeue(item)
        elif now - since >= MAX_PAUSE_S and not chunk.stopped:
            # It cannot be run again, so it goes on whatever the gate says.
            slots.paused.remove(entry)
            item.pinned = True
            runner.start(slots, chunk, item, now=now)
