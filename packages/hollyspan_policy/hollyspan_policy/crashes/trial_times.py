"""Times of the trials of blocks."""

__all__ = [
    "CLAIM_SPREAD_S",
    "MAX_POSTPONEMENTS_S",
    "SPREAD_WITHOUT_STORE_S",
    "choose_joint_trial_delay",
    "choose_trial_delay",
    "choose_trial_slot",
]

# Time until the first trial: the runs beside the ends have gone on elsewhere.
FIRST_TRIAL_DELAY_S = 2.0
# Time from a trial that has ended an upstream to the second one.
SECOND_TRIAL_DELAY_S = 6.0
# Trials that have ended an upstream each and convict the keys.
MAX_EARLY_FAILURES = 2
# All early trials whose upstreams ended, for whatever reason: a request with
# keys that do end upstreams must not be let through more often.
MAX_EARLY_TRIALS = 3
# Those among them that may be trials of other blocks, too.
MAX_EARLY_JOINT_TRIALS = MAX_EARLY_TRIALS - 1
# The same if the last one met losses and none has failed: the next one awaits
# calm.
MAX_TRIALS_BESIDE_LOSSES = 6
# Time to the next trial after these, multiplied after each one that has ended
# an upstream: a trial costs the requests that run beside it.
RARE_TRIAL_DELAY_S = 30.0
TRIAL_DELAY_FACTOR = 4
MAX_TRIAL_DELAY_S = 3600.0
# Longest time for which such ends postpone a trial, the first one and those
# after trials that told nothing: one more of them costs an upstream as well.
MAX_POSTPONEMENTS_S = (4.0, 20.0, 60.0)
# Time over which gateways that claim trials in the store begin to try, so that
# few claim the same one, and without the store, so that few trials overlap:
# there it begins after the time in which claims fail.
CLAIM_SPREAD_S = 1.0
SPREAD_WITHOUT_STORE_S = 2.0
# Time after these in which a trial of one block becomes known.
JOINT_TRIAL_DELAY_S = 1.0


def choose_trial_delay(failed_trials, *, void_trials=0, has_met_losses=False):
    """Choose the time from a block or a trial to the next trial.

    Parameters
    ----------
    failed_trials : int
    void_trials : int, optional
    has_met_losses : bool, optional
        Whether other upstreams are known to have ended beside the last trial.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load patterns: upstreams are lost in series, and a sound part was in flight
    at each loss; its items have to end some seconds after the last one. Its
    trials may all have met losses. Or a part ends each upstream, which must
    cost few of them. The ends that led to
    the block look alike, so that trials tell, each one alone in the fleet. The
    half-open state of a circuit breaker [1]_, with exponential back-off after
    the early ones.

    References
    ----------
    .. [1] M. Nygard, "Release It!", 2nd edition, Pragmatic Bookshelf 2018,
       chapter 5.

    Examples
    --------
    >>> [choose_trial_delay(count) for count in range(5)]
    [2.0, 6.0, 480.0, 1920.0, 3600.0]
    >>> [choose_trial_delay(0, void_trials=count) for count in range(5)]
    [2.0, 2.0, 2.0, 30.0, 120.0]
    >>> choose_trial_delay(0, void_trials=3, has_met_losses=True)
    2.0
    """
    max_trials = (
        MAX_TRIALS_BESIDE_LOSSES
        if has_met_losses and not failed_trials
        else MAX_EARLY_TRIALS
    )
    if (
        failed_trials < MAX_EARLY_FAILURES
        and failed_trials + void_trials < max_trials
    ):
        return SECOND_TRIAL_DELAY_S if failed_trials else FIRST_TRIAL_DELAY_S
    backoffs = failed_trials + max(0, void_trials - MAX_EARLY_TRIALS)
    return min(
        MAX_TRIAL_DELAY_S, RARE_TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**backoffs
    )


def choose_joint_trial_delay(trial_count):
    """Choose the time to the next trial that is one of several blocks.

    Parameters
    ----------
    trial_count : int
        Trials of the block whose upstreams ended.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: a sound part comes with one that ends upstreams, and both are
    blocked. The end of a trial with both tells of neither; the last early
    trial of each is left to a request with that part alone.

    Examples
    --------
    >>> [choose_joint_trial_delay(count) for count in range(4)]
    [2.0, 6.0, 120.0, 480.0]
    """
    if trial_count < MAX_EARLY_JOINT_TRIALS:
        return SECOND_TRIAL_DELAY_S if trial_count else FIRST_TRIAL_DELAY_S
    backoffs = trial_count - MAX_EARLY_JOINT_TRIALS + 1
    return min(
        MAX_TRIAL_DELAY_S, RARE_TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**backoffs
    )


def choose_trial_slot(share, *, has_store, block_count=1):
    """Choose the time after which a gateway may make a trial that is due.

    Parameters
    ----------
    share : float
        Share of the gateways that come before this one.
    has_store : bool
        Whether the gateways claim trials in the store.
    block_count : int, optional
        Number of blocks that the request falls under.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Load pattern: only some gateways have requests with the keys, one or all
    of them. The sum of all slots does not grow with the fleet.

    Requests fall under several blocks, that of a part that ends upstreams
    among them. One under a single block tells more and comes first; there may
    be none, so that the others follow.

    Examples
    --------
    >>> choose_trial_slot(0.5, has_store=True)
    0.5
    >>> choose_trial_slot(0.5, has_store=True, block_count=2)
    2.5
    """
    spread = CLAIM_SPREAD_S if has_store else SPREAD_WITHOUT_STORE_S
    slot = share * spread
    return slot if block_count == 1 else slot + spread + JOINT_TRIAL_DELAY_S
