"""Block of requests by their keys."""

__all__ = ["Block", "choose_trial_delay"]

# Time until a request is let through as a trial, multiplied after each trial
# that has ended an upstream: a trial costs the requests that run beside it.
FIRST_TRIAL_DELAY_S = 30.0
# The same for a block whose ends may have another cause: items with a sound
# part must end long before the operator counts them as lost, after 18 s.
DOUBTFUL_TRIAL_DELAY_S = 2.0
# Trials of such a block that tell as much as three ends one after the other.
DOUBTFUL_TRIALS = 2
TRIAL_DELAY_FACTOR = 4
MAX_TRIAL_DELAY_S = 3600.0
# Time after a trial in which its upstream's end, if it is one, is detected.
TRIAL_CHECK_S = 2.0
# Time that a gateway leaves to each one of a higher rank: that of a trial and
# its check.
TRIAL_INTERVAL_S = 3.0
# The same for a doubtful block: the time until an end, which is told at once.
DOUBTFUL_TRIAL_INTERVAL_S = 1.0


class Block:
    """Keys that no request may have together.

    Parameters
    ----------
    keys : frozenset of int
        Hashes of shared parts of prompts, or the fingerprint of one request.
    at : float
        Time of the decision, or of the last trial that failed, seconds.
    failed_trials : int, optional
        Number of trials that have ended an upstream.
    is_doubtful : bool, optional
        True if the upstreams may have ended of another cause.

    Attributes
    ----------
    is_tried : bool
        True while a trial is in flight at this gateway.
    checked_until : float
        Time until which the last trial may turn out to have failed, seconds.
    trial_rank : int or None
        Number of gateways that may try before this one, as of the last check;
        None if it makes no trials.
    next_check_at : float
        Time of the next check of the rank, seconds.
    """

    __slots__ = (
        "keys",
        "at",
        "failed_trials",
        "is_doubtful",
        "is_tried",
        "checked_until",
        "trial_rank",
        "next_check_at",
    )

    def __init__(self, *, keys, at, failed_trials=0, is_doubtful=False):
        self.keys = keys
        self.at = at
        self.failed_trials = failed_trials
        self.is_doubtful = is_doubtful
        self.is_tried = False
        self.checked_until = 0.0
        self.trial_rank = None
        self.next_check_at = 0.0

    @property
    def trial_at(self):
        """Time from which a request may be let through as a trial."""
        return self.at + choose_trial_delay(
            self.failed_trials, is_doubtful=self.is_doubtful
        )

    @property
    def trial_interval(self):
        """Time that a gateway leaves to each one of a higher rank."""
        if self.is_doubtful and self.failed_trials < DOUBTFUL_TRIALS:
            return DOUBTFUL_TRIAL_INTERVAL_S
        return TRIAL_INTERVAL_S

    def is_trial_due(self, *, now):
        """Return whether some gateway may let a request through as a trial."""
        return not self.is_tried and now >= max(
            self.trial_at, self.checked_until
        )

    def is_trial_due_here(self, *, now):
        """Return whether this gateway may let a request through as a trial.

        Notes
        -----
        Load pattern: requests with a part come rarely, or to a few gateways
        only, and those with parts of batch work to workers alone. The first
        gateway may never get one, so the others follow, one after the other.
        """
        return (
            self.is_trial_due(now=now)
            and self.trial_rank is not None
            and now >= self.trial_at + self.trial_rank * self.trial_interval
        )

    def end_trial(self, *, now):
        """Note that a trial is no longer in flight."""
        self.is_tried = False
        self.checked_until = now + TRIAL_CHECK_S


def choose_trial_delay(failed_trials, *, is_doubtful=False):
    """Choose the time from a block or a failed trial to the next trial.

    Parameters
    ----------
    failed_trials : int
    is_doubtful : bool, optional
        Whether the upstreams may have ended of another cause. The first
        trials tell; one of them may meet the next loss of upstreams.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    The half-open state of a circuit breaker [1]_, with exponential back-off.

    References
    ----------
    .. [1] M. Nygard, "Release It!", 2nd edition, Pragmatic Bookshelf 2018,
       chapter 5.

    Examples
    --------
    >>> choose_trial_delay(0), choose_trial_delay(1), choose_trial_delay(9)
    (30.0, 120.0, 3600.0)
    >>> [choose_trial_delay(n, is_doubtful=True) for n in range(4)]
    [2.0, 8.0, 480.0, 1920.0]
    """
    if is_doubtful and failed_trials < DOUBTFUL_TRIALS:
        return DOUBTFUL_TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**failed_trials
    return min(
        MAX_TRIAL_DELAY_S,
        FIRST_TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**failed_trials,
    )
