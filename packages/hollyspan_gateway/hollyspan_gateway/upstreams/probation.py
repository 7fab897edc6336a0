"""Time after which open connections show again that links work."""

import contextlib
import math

from hollyspan_policy.retries import compute_backoff

__all__ = ["Probation"]

# Time for which connections that stay open are no proof, after links that
# these had shown to work broke the next attempt without a byte. It doubles
# with each such failure.
RELAPSE_BACKOFF_S = 0.5
MAX_RELAPSE_BACKOFF_S = 4.0
# Time for which a trial waits for a request that may be repeated.
REPEATABLE_ONLY_S = 2.0


class Probation:
    """Links that count as working because connections over them stay open.

    Parameters
    ----------
    seed : str

    Attributes
    ----------
    is_on_trial : bool
        True from then until bytes of an answer arrive, or an attempt fails.
    trial_at : float
        Time from which this has been so, reactor seconds.
    trials : int
        Attempts in flight that were made on trial.
    relapses : int
        Number of such failures since bytes of an answer have arrived.
    restorable_at : float
        Time from which open connections count again, reactor seconds.

    Notes
    -----
    A link may accept connections, and keep them until a request is written,
    or never read it. Only bytes of an answer tell it from one that works.
    """

    __slots__ = (
        "seed",
        "is_on_trial",
        "trial_at",
        "trials",
        "relapses",
        "restorable_at",
    )

    def __init__(self, *, seed):
        self.seed = seed
        self.is_on_trial = False
        self.trial_at = -math.inf
        self.trials = 0
        self.relapses = 0
        self.restorable_at = -math.inf

    def may_restore(self, *, now):
        """Return whether an open connection shows that links work."""
        return now >= self.restorable_at

    def begin_trial(self, *, now):
        """Note that links count as working."""
        self.is_on_trial = True
        self.trial_at = now

    def may_try(self, *, now, is_repeatable):
        """Return whether a request may be sent over the links.

        Parameters
        ----------
        now : float
        is_repeatable : bool
            Whether another gateway can run it if the trial fails.
        """
        if not self.is_on_trial:
            return True
        return self.trials == 0 and (
            is_repeatable or now >= self.trial_at + REPEATABLE_ONLY_S
        )

    @contextlib.contextmanager
    def track(self):
        """Count an attempt as in flight, if it is made on trial."""
        is_trial = self.is_on_trial
        self.trials += is_trial
        try:
            yield
        finally:
            self.trials -= is_trial

    def note_failure(self, *, now, is_conclusive):
        """Note an attempt that failed.

        Parameters
        ----------
        now : float
        is_conclusive : bool
            Whether it shows that links are lost: its connection was closed or
            reset. Silence may be that of a sound upstream, unless it answers
            other gateways.
        """
        if not self.is_on_trial:
            return
        self.is_on_trial = False
        if not is_conclusive:
            return
        self.relapses += 1
        self.restorable_at = now + compute_backoff(
            self.relapses,
            seed=self.seed,
            base=RELAPSE_BACKOFF_S,
            limit=MAX_RELAPSE_BACKOFF_S,
        )

    def note_data(self):
        """Note bytes of an answer."""
        self.is_on_trial = False
        self.relapses = 0
        self.restorable_at = -math.inf
