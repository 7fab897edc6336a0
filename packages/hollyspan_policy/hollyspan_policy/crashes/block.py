"""Block of requests by their keys."""

import math

from .decision import SURVIVAL_VALIDITY_S
from .explanation import MIN_ENDS

__all__ = [
    "Block",
    "choose_joint_trial_delay",
    "choose_trial_delay",
    "choose_trial_slot",
    "find_calm_time",
    "has_met_losses",
    "has_request",
    "is_refuted",
    "list_matching_blocks",
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
# Time without ends for other reasons before a trial, doubled after each of
# the first trials that told nothing.
CALM_S = 1.0
MAX_CALM_S = 4.0
# Longest time for which such ends postpone a trial, the first one and those
# after trials that told nothing: one more of them costs an upstream as well.
MAX_POSTPONEMENTS_S = (4.0, 20.0, 60.0)
# Time over which gateways that claim trials in the store begin to try, so that
# few claim the same one, and without the store, so that few trials overlap.
CLAIM_SPREAD_S = 1.0
SPREAD_WITHOUT_STORE_S = 3.0
# Time after these in which a trial of one block becomes known.
JOINT_TRIAL_DELAY_S = 1.0


class Block:
    """Keys that no request may have together.

    Parameters
    ----------
    keys : frozenset of int
        Hashes of shared parts of prompts, or the fingerprint of one request.
    at : float
        Time of the decision, or of the last trial that failed or told
        nothing, seconds.
    failed_trials : int, optional
        Number of trials that have ended an upstream.
    void_trials : int, optional
        Number of trials that told nothing, though their upstreams ended.
    is_doubtful : bool, optional
        True if the upstreams may have ended of another cause.

    Attributes
    ----------
    decided_at : float
        Time from which it is in force here, seconds.
    has_met_losses : bool
        True if other upstreams are known to have ended beside the last trial.
    """

    __slots__ = (
        "keys",
        "at",
        "decided_at",
        "failed_trials",
        "void_trials",
        "is_doubtful",
        "has_met_losses",
    )

    def __init__(
        self,
        *,
        keys,
        at,
        failed_trials=0,
        void_trials=0,
        is_doubtful=False,
    ):
        self.keys = keys
        self.at = at
        self.decided_at = at
        self.failed_trials = failed_trials
        self.void_trials = void_trials
        self.is_doubtful = is_doubtful
        self.has_met_losses = False

    @property
    def trial_at(self):
        """Time from which a request may be let through as a trial."""
        return self.at + choose_trial_delay(
            self.failed_trials,
            void_trials=self.void_trials,
            has_met_losses=self.has_met_losses,
        )

    @property
    def joint_trial_at(self):
        """Time from which a trial may be one of other blocks, too."""
        return max(
            self.trial_at, self.at + choose_joint_trial_delay(self.trial_count)
        )

    @property
    def trial_count(self):
        """Number of trials whose upstreams ended."""
        return self.failed_trials + self.void_trials

    def merge(self, *, at, failed_trials, void_trials):
        """Take over the trials that a peer or the store knows of.

        Notes
        -----
        The time is taken over with new trials only: that of a message is late
        by its transport, and gateways that repeat it to each other would
        postpone the next trial for ever.
        """
        if (
            failed_trials > self.failed_trials
            or void_trials > self.void_trials
        ):
            self.at = max(self.at, at)
            self.failed_trials = max(self.failed_trials, failed_trials)
            self.void_trials = max(self.void_trials, void_trials)

    def note_failed_trial(self, *, now):
        """Count a trial that has ended an upstream."""
        self.at = now
        self.failed_trials += 1

    def note_void_trial(self, *, now):
        """Count a trial whose upstream ended for another reason."""
        self.at = now
        self.void_trials += 1

    def get_latest_trial_time(self, *, spread):
        """Return the time from which ends elsewhere postpone no trial."""
        number = min(self.void_trials, len(MAX_POSTPONEMENTS_S) - 1)
        return self.trial_at + spread + MAX_POSTPONEMENTS_S[number]


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


def list_matching_blocks(blocks, keys):
    """List the blocks that a request falls under.

    Parameters
    ----------
    blocks : iterable of Block
    keys : iterable of int
        Those of the request.

    Returns
    -------
    list of Block

    Notes
    -----
    Load pattern: many jobs have a part that ends upstreams and one of their
    own, and both are blocked. A request that was let through for one of its
    blocks would cost an upstream for each job.

    Examples
    --------
    >>> blocks = [Block(keys=frozenset({key}), at=0.0) for key in (1, 2, 3)]
    >>> [min(block.keys) for block in list_matching_blocks(blocks, (1, 3, 4))]
    [1, 3]
    """
    return [block for block in blocks if block.keys.issubset(keys)]


def has_request(end, keys):
    """Return whether a request with some keys was in flight at an end.

    Parameters
    ----------
    end : EndRecord
    keys : frozenset of int
    """
    return any(map(keys.issubset, end.requests))


def find_calm_time(keys, ends, *, blocked=(), void_trials=0):
    """Return the time from which ends for other reasons postpone no trial.

    Parameters
    ----------
    keys : frozenset of int
        Those of a block.
    ends : iterable of EndRecord
    blocked : iterable of frozenset of int, optional
        Keys of blocks, which explain ends.
    void_trials : int, optional
        Number of trials of the block that told nothing.

    Returns
    -------
    float
        Seconds; minus infinity without such ends.

    Notes
    -----
    Load pattern: upstreams are lost each second or two, and a trial that began
    between two losses has met the next one. A longer time without losses is
    more often the end of them. The gateways take their turns from then on:
    their times may have passed before, so that all would begin at once.
    """
    seconds = min(MAX_CALM_S, CALM_S * 2**void_trials)
    return max(
        (
            end.at + seconds
            for end in ends
            if is_other_end(end, keys, blocked=blocked)
        ),
        default=-math.inf,
    )


def has_met_losses(keys, ends, *, at, blocked=()):
    """Return whether other upstreams ended beside a trial.

    Parameters
    ----------
    keys : frozenset of int
        Those of a block.
    ends : iterable of EndRecord
    at : float
        Time of the trial's verdict.
    blocked : iterable of frozenset of int, optional
        Keys of blocks, which explain ends.
    """
    return has_other_end(
        keys, ends, since=at - CALM_S, until=at + CALM_S, blocked=blocked
    )


def has_other_end(keys, ends, *, since, until, blocked):
    """Return whether an upstream ended in a time for another reason."""
    return any(
        since < end.at <= until and is_other_end(end, keys, blocked=blocked)
        for end in ends
    )


def is_refuted(keys, ends, *, decided_at, survived_at):
    """Return whether a survival contradicts the decision on a block.

    Parameters
    ----------
    keys : frozenset of int
    ends : list of EndRecord
    decided_at, survived_at : float
        Times of the block and of the survival of a request with its keys.

    Notes
    -----
    A survival before the decision refutes it if too few ends are left that
    it does not clear.
    """
    if survived_at > decided_at:
        return True
    times = [end.at for end in ends if has_request(end, keys)]
    left = [at for at in times if at > survived_at + SURVIVAL_VALIDITY_S]
    return len(left) < MIN_ENDS <= len(times)


def is_other_end(end, keys, *, blocked):
    """Return whether an upstream ended for another reason than some keys."""
    return not has_request(end, keys) and not any(
        has_request(end, block) for block in blocked
    )
