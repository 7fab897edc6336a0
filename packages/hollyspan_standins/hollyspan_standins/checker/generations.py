"""Check for configuration generations that decrease."""

from .violation import Violation

__all__ = ["find_decreasing_generations"]


def find_decreasing_generations(observations):
    """Find daemons that reported a lower generation after a higher one.

    Parameters
    ----------
    observations : iterable of tuple of str, float, float and int
        Daemon, start time and end time of the observation, and generation
        observed in force, across restarts.

    Returns
    -------
    list of Violation

    Notes
    -----
    A generation was in force at some time between the start and the end of
    its observation, so overlapping observations have no order.
    """
    return [
        Violation(
            rule="generation_fell",
            subject=daemon,
            detail=f"{highest} to {generation} at {began:.3f}",
        )
        for daemon, history in group_by_daemon(observations).items()
        for began, _, generation in history
        if (highest := find_highest(history, before=began)) > generation
    ]


def group_by_daemon(observations):
    """Return the observations of each daemon in order of start time."""
    groups = {}
    for daemon, began, ended, generation in observations:
        groups.setdefault(daemon, []).append((began, ended, generation))
    return {daemon: sorted(history) for daemon, history in groups.items()}


def find_highest(history, *, before):
    """Return the highest generation observed before a time, or 0."""
    seen = (generation for _, ended, generation in history if ended < before)
    return max(seen, default=0)
