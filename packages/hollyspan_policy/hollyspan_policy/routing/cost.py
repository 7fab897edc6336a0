"""Expected time to the first token at an upstream."""

import math

__all__ = ["estimate_cost", "estimate_streams_ahead", "estimate_wait"]

PREEMPTION_TIME_S = 0.05
REPORT_DECAY_S = 2.0
DEFAULT_SERVICE_TIME_S = 1.0
PREFILL_S_PER_BLOCK = 0.003
MAX_CONTENTION_S = 0.4
# Weight of a batch stream, which can be preempted, relative to an online
# request.
BATCH_STREAM_WEIGHT = 0.25


def estimate_streams_ahead(view):
    """Estimate the number of streams that are ahead of a new online request.

    Parameters
    ----------
    view : UpstreamView

    Returns
    -------
    float

    Notes
    -----
    Streams that occupy a slot count as well as queued ones. The counts of this
    daemon and its peers are used first. The queue in the load report is added
    as far as these counts do not explain it, with a weight that decays with
    the age of the report. Batch streams count when no daemon preempts them.
    Streams that no daemon has announced always count.
    """
    occupied = view.online + view.hidden
    if not view.batch_yields:
        occupied += view.batch
    if view.report_age is None:
        return float(occupied)
    explained = max(0, view.online + view.batch - view.slots)
    unexplained = max(0, view.waiting - explained)
    decay = math.exp(-view.report_age / REPORT_DECAY_S)
    return occupied + unexplained * decay


def estimate_wait(view, *, service_seconds=DEFAULT_SERVICE_TIME_S):
    """Estimate the wait for a slot.

    Parameters
    ----------
    view : UpstreamView
    service_seconds : float, optional
        Mean time for which an online request holds a slot, seconds.

    Returns
    -------
    float
        Seconds: 0 with a free slot, the time of a preemption when batch work
        has to free a slot, else the time until enough requests have ended.
    """
    streams_ahead = estimate_streams_ahead(view)
    if streams_ahead + 1 > view.slots:
        queued_ahead = streams_ahead + 1 - view.slots
        slot_seconds = service_seconds * view.slowness
        return PREEMPTION_TIME_S + queued_ahead * slot_seconds / view.slots
    if view.batch_yields and streams_ahead + view.batch + 1 > view.slots:
        return PREEMPTION_TIME_S
    return 0.0


def estimate_cost(view, *, uncached, service_seconds=DEFAULT_SERVICE_TIME_S):
    """Estimate the time to the first token.

    Parameters
    ----------
    view : UpstreamView
    uncached : int
        Blocks of the prompt that are not in the upstream's cache.
    service_seconds : float, optional
        Mean time for which an online request holds a slot, seconds.

    Returns
    -------
    float
        Seconds.
    """
    load = estimate_streams_ahead(view) + BATCH_STREAM_WEIGHT * view.batch
    # Quadratic, since a nearly full upstream has no slots for the next burst.
    contention = min(1.0, load / view.slots) ** 2
    return (
        estimate_wait(view, service_seconds=service_seconds)
        + uncached * PREFILL_S_PER_BLOCK
        + contention * MAX_CONTENTION_S
    )
