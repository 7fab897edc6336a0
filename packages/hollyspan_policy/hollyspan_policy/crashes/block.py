"""Block of requests by their keys."""

from .decision import SURVIVAL_VALIDITY_S
from .explanation import MIN_ENDS
from .record import has_request
from .trial_times import choose_joint_trial_delay
from .trial_times import choose_trial_delay
from .trial_times import MAX_POSTPONEMENTS_S

__all__ = ["Block", "is_refuted", "list_matching_blocks"]


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
