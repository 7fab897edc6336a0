"""Requests that are told together."""

import math

__all__ = ["choose_limited_delay", "choose_step"]

# Part of the margin that the error of the counts may reach, seldom more.
ERROR_PART = 0.25
# Standard deviations that count as seldom.
SELDOM = 2.0

# Time for which requests are told together while only a fraction is admitted.
MIN_LIMITED_DELAY_S = 0.2
# Messages that one keeper receives about one workspace.
MAX_MESSAGES_PER_S = 300.0


def choose_limited_delay(daemons):
    """Choose for how long requests of a limited workspace are gathered.

    Parameters
    ----------
    daemons : int

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: a flood of the largest workspace through hundreds of
    daemons, each of which has refused requests to tell of at any time.

    Examples
    --------
    >>> choose_limited_delay(58), choose_limited_delay(390)
    (0.2, 1.3)
    """
    return max(MIN_LIMITED_DELAY_S, daemons / MAX_MESSAGES_PER_S)


def choose_step(*, margin, daemons):
    """Choose after how many admitted requests a daemon tells of them.

    Parameters
    ----------
    margin : float
        Requests by which a workspace may exceed its rate.
    daemons : int

    Returns
    -------
    int
        A power of two.

    Notes
    -----
    Load pattern: a large workspace with hundreds of requests a second over
    hundreds of daemons. A message for each would take much of its keepers'
    time. Each daemon begins its steps at another phase, so that what all of
    them have not told yet is the same on average at any time. The difference
    between two moments has a standard deviation of step x sqrt(daemons / 6).

    Examples
    --------
    >>> choose_step(margin=536.0, daemons=390), choose_step(
    ...     margin=20.0, daemons=390
    ... )
    (8, 1)
    """
    deviation = math.sqrt(max(1, daemons) / 6.0)
    step = margin * ERROR_PART / (SELDOM * deviation)
    return 2 ** max(0, math.floor(math.log2(max(1.0, step))))
