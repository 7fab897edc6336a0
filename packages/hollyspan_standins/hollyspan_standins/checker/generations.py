"""Configurations that went back."""

from .violation import Violation

__all__ = ["find_falling_generations"]


def find_falling_generations(observations):
    """Find daemons that showed a lower generation after a higher one.

    Parameters
    ----------
    observations : iterable of tuple of str, float, float and int
        Daemon, time at which the observation began, time at which it
        ended, and the generation seen in force, across restarts.

    Returns
    -------
    list of Violation

    Notes
    -----
    What was seen holds for some moment between begin and end, so that of two
    observations that overlap neither is the later one.
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
    """Return the observations of each daemon by their begin."""
    groups = {}
    for daemon, began, ended, generation in observations:
        groups.setdefault(daemon, []).append((began, ended, generation))
    return {daemon: sorted(history) for daemon, history in groups.items()}


def find_highest(history, *, before):
    """Return the highest generation that was seen before a time."""
    seen = (generation for _, ended, generation in history if ended < before)
    return max(seen, default=0)
