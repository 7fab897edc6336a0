"""Expected time to the first token at an upstream."""

import math

__all__ = ["estimate_cost", "estimate_queue", "estimate_wait"]

REACTION_SECONDS = 0.05
REPORT_DECAY_SECONDS = 2.0
SERVICE_SECONDS = 1.0
PREFILL_SECONDS_PER_BLOCK = 0.003
CONTENTION_SECONDS = 0.4
# Weight of a batch stream, which can yield, against an online request.
BATCH_WEIGHT = 0.25


def estimate_queue(view):
    """Estimate the streams that keep a slot from a new request.

    Parameters
    ----------
    view : UpstreamView

    Returns
    -------
    float

    Notes
    -----
    The counts of this daemon and its peers come first. The queue in the
    load report counts as far as those counts do not explain it, and fades
    as the report ages. Batch streams count when nobody makes them yield,
    and so do streams that no daemon tells of.
    """
    held = view.online + view.hidden
    if not view.yields:
        held += view.batch
    if view.report_age is None:
        return float(held)
    explained = max(0, view.online + view.batch - view.slots)
    unexplained = max(0, view.waiting - explained)
    fading = math.exp(-view.report_age / REPORT_DECAY_SECONDS)
    return held + unexplained * fading


def estimate_wait(view, *, service_seconds=SERVICE_SECONDS):
    """Estimate the wait for a slot.

    Parameters
    ----------
    view : UpstreamView
    service_seconds : float, optional
        Mean time that an online request holds a slot, seconds.

    Returns
    -------
    float
        Seconds: none with a free slot, the reaction time when batch work
        has to give one up, else the time until enough requests have ended.
    """
    queue = estimate_queue(view)
    if queue + 1 > view.slots:
        ahead = queue + 1 - view.slots
        return REACTION_SECONDS + ahead * service_seconds / view.slots
    if view.yields and queue + view.batch + 1 > view.slots:
        return REACTION_SECONDS
    return 0.0


def estimate_cost(view, *, uncached, service_seconds=SERVICE_SECONDS):
    """Estimate the time to the first token.

    Parameters
    ----------
    view : UpstreamView
    uncached : int
        Blocks of the prompt that are not in the upstream's cache.
    service_seconds : float, optional
        Mean time that an online request holds a slot, seconds.

    Returns
    -------
    float
        Seconds.
    """
    load = estimate_queue(view) + BATCH_WEIGHT * view.batch
    # Grows faster near the end, where the next burst would find no slot.
    busy = min(1.0, load / view.slots) ** 2
    return (
        estimate_wait(view, service_seconds=service_seconds)
        + uncached * PREFILL_SECONDS_PER_BLOCK
        + busy * CONTENTION_SECONDS
    )
