"""Reduction of a scenario to what still breaks the same rule."""

from .driver import play_scenario

__all__ = ["shrink"]

# Seeds with which each smaller scenario is tried, since what the processes
# draw differs from then on.
TRIED_SEEDS = 2


def shrink(scenario, key, *, max_runs, play=play_scenario):
    """Reduce a scenario as far as it still breaks a rule.

    Parameters
    ----------
    scenario : Scenario
    key : str
        Key of the Violation.
    max_runs : int
    play : callable, optional
        Returns the Outcome of a scenario.

    Returns
    -------
    Scenario

    Notes
    -----
    Greedy, with large steps first, as in delta debugging [1]_.

    References
    ----------
    .. [1] A. Zeller, R. Hildebrandt, "Simplifying and isolating
       failure-inducing input", IEEE Transactions on Software Engineering
       28(2), 2002.
    """
    tries = iter(range(max_runs))

    def find_smaller(candidates):
        for candidate in candidates:
            for offset in range(TRIED_SEEDS):
                if next(tries, None) is None:
                    return None
                tried = candidate.replace(seed=scenario.seed + offset)
                if breaks(play(tried), key):
                    return tried
        return None

    before = None
    while scenario != before:
        before = scenario
        for list_smaller in PASSES:
            while smaller := find_smaller(list_smaller(scenario)):
                scenario = smaller
    return scenario


def breaks(outcome, key):
    """Return whether a run breaks a rule."""
    return any(violation.key == key for violation in outcome.violations)


def list_fewer(name):
    """Return a function that lists scenarios with fewer faults or jobs."""
    return lambda scenario: [
        scenario.replace(**{name: rest})
        for rest in list_parts(getattr(scenario, name))
    ]


def list_parts(sequence):
    """Return the sequence without its halves, quarters and single values."""
    parts = []
    size = len(sequence) // 2
    while size:
        parts += [
            sequence[:start] + sequence[start + size :]
            for start in range(0, len(sequence), size)
        ]
        size //= 2
    if len(sequence) == 1:
        parts.append([])
    return parts


def list_calmer(scenario):
    """Return the scenario without streams, or with a single version."""
    calmer = []
    if scenario.streams:
        calmer.append(scenario.replace(streams=0.0))
    if scenario.versions > 1:
        calmer.append(scenario.replace(versions=1))
    return calmer


def list_fewer_processes(scenario):
    """Return the scenario with fewer gateways or upstreams."""
    return [
        scenario.replace(**{name: count})
        for name in ("fronts", "workers", "upstreams")
        for count in (
            getattr(scenario, name) // 2,
            getattr(scenario, name) - 1,
        )
        if count > 0
    ]


def list_smaller_jobs(scenario):
    """Return the scenario with fewer items in one of its jobs."""
    return [
        scenario.replace(
            jobs=[
                plan.replace(items=plan.items // 2) if plan is each else plan
                for plan in scenario.jobs
            ]
        )
        for each in scenario.jobs
        if each.items > 1
    ]


PASSES = (
    list_fewer("faults"),
    list_fewer("jobs"),
    list_calmer,
    list_fewer_processes,
    list_smaller_jobs,
)
