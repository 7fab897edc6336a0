"""Failed runs of one upstream and the time for which it is set aside."""

import math

__all__ = ["OutlierRecord"]

# Failed runs of different requests, one after the other and no sound one in
# between, after which an upstream is an outlier.
FAILURES_IN_A_ROW = 3
# Time for which an outlier is set aside at first; it doubles each time.
FIRST_PERIOD_S = 2.0
MAX_PERIOD_S = 30.0


class OutlierRecord:
    """What the runs at one upstream tell of it.

    Attributes
    ----------
    failures : int
        Failed runs since the last sound one.
    requests : frozenset
        Keys of the last requests whose runs have failed.
    failed_at : float
        Time of the last failure, seconds.
    periods : int
        How often it was set aside since the last sound run.
    until : float
        Time until which it is set aside, seconds.
    trials : int
        Runs in flight that were sent to find out whether it is sound.

    Notes
    -----
    Runs that fail together, such as those of connections that are reset at
    one moment, are one failure: only a run that began after the last failure
    counts. So are the runs of one request that comes again: it may be what
    fails.
    """

    __slots__ = (
        "failures",
        "requests",
        "failed_at",
        "periods",
        "until",
        "trials",
    )

    def __init__(self):
        self.trials = 0
        self.failed_at = -math.inf
        self.clear()

    def clear(self):
        """Forget the failures, after a sound run or for lack of others."""
        self.failures = 0
        self.requests = frozenset()
        self.periods = 0
        self.until = -math.inf

    def note_failure(self, request, *, started_at, now):
        """Count a failed run.

        Parameters
        ----------
        request : hashable
            Key that a request keeps when it comes again.
        started_at, now : float
            Start and end of the run, seconds.

        Returns
        -------
        bool
            Whether it counts.
        """
        if started_at < self.failed_at or request in self.requests:
            return False
        self.failed_at = now
        self.failures += 1
        if self.failures <= FAILURES_IN_A_ROW:
            self.requests |= {request}
        return True

    def is_failing(self):
        """Return whether enough runs in a row have failed."""
        return self.failures >= FAILURES_IN_A_ROW

    def is_doubted(self, *, now):
        """Return whether its last run has failed a short time ago.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            True when a request that can run only once is better sent
            elsewhere.
        """
        return bool(self.failures) and now < self.failed_at + FIRST_PERIOD_S

    def must_set_aside(self):
        """Return whether it has failed again since the last period."""
        return self.is_failing() and self.failed_at >= self.until

    def set_aside(self, *, now):
        """Begin a period and return its length in seconds."""
        seconds = min(MAX_PERIOD_S, FIRST_PERIOD_S * 2**self.periods)
        self.periods += 1
        self.until = now + seconds
        return seconds

    def is_set_aside(self, *, now):
        """Return whether it gets no new work."""
        return now < self.until

    def may_run(self, *, now, is_repeatable):
        """Return whether a request may be sent.

        Parameters
        ----------
        now : float
        is_repeatable : bool
            Whether it can run elsewhere when it fails here.

        Returns
        -------
        bool
            After a period one repeatable request at a time until one was
            sound, or until as much time has passed again.
        """
        if now < self.until:
            return False
        if not self.is_on_trial(now=now):
            return True
        return is_repeatable and not self.trials

    def is_on_trial(self, *, now):
        """Return whether the upstream has been set aside and not shown sound.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        if not self.periods:
            return False
        seconds = min(MAX_PERIOD_S, FIRST_PERIOD_S * 2 ** (self.periods - 1))
        return now < self.until + seconds
