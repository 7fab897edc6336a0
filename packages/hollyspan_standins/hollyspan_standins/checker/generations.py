"""Configurations that went back."""

from .violation import Violation

__all__ = ["find_falling_generations"]


def find_falling_generations(observations):
    """Find daemons that applied a lower generation after a higher one.

    Parameters
    ----------
    observations : iterable of tuple of str, float and int
        Daemon, time and the generation seen in force, across restarts.

    Returns
    -------
    list of Violation
    """
    highest = {}
    violations = []
    for daemon, time, generation in sorted(observations, key=lambda o: o[1]):
        before = highest.get(daemon, generation)
        if generation < before:
            violations.append(
                Violation(
                    rule="generation_fell",
                    subject=daemon,
                    detail=f"{before} to {generation} at {time:.3f}",
                )
            )
        highest[daemon] = max(before, generation)
    return violations
