"""This gateway's link to one upstream."""

import math

from .probation import Probation

__all__ = ["Link"]


class Link:
    """What is known of the link to an upstream and of its other end.

    Attributes
    ----------
    heard_at : float
        Arrival of the last bytes of an answer, reactor seconds.
    failed_at : float or None
        Time of the first attempt that was broken off or fell silent since
        then.
    silent_at : float
        Time at which an attempt was first known to wait in a silence, or
        given up for it, since then.
    unconnected_at : float or None
        Start of the first connection attempt that failed since one was
        established.
    answered_elsewhere_at : float
        Time at which a peer last told of an answer of the upstream.
    heard_elsewhere_at : float
        Time at which a peer last received bytes of its answers, as told.
    doubts : dict
        Time until which a peer's failed connection attempt counts, by the
        peer's identifier.
    closed_at : float
        Time at which an attempt was last closed or reset, since it was
        restored or an answer came over a connection opened later.
    probation : Probation or None
        Since it was broken off first.
    """

    __slots__ = (
        "heard_at",
        "failed_at",
        "silent_at",
        "unconnected_at",
        "answered_elsewhere_at",
        "heard_elsewhere_at",
        "doubts",
        "closed_at",
        "probation",
    )

    def __init__(self):
        self.heard_at = -math.inf
        self.failed_at = None
        self.silent_at = -math.inf
        self.unconnected_at = None
        self.answered_elsewhere_at = -math.inf
        self.heard_elsewhere_at = -math.inf
        self.doubts = {}
        self.closed_at = -math.inf
        self.probation = None

    @property
    def closes(self):
        """True while new connections may be closed or reset."""
        return self.closed_at > -math.inf

    @property
    def alive_at(self):
        """Time at which the upstream was last known to be alive."""
        return max(self.heard_at, self.answered_elsewhere_at)

    @property
    def last_elsewhere_at(self):
        """Time at which other gateways last heard the upstream."""
        return max(self.answered_elsewhere_at, self.heard_elsewhere_at)

    @property
    def is_broken(self):
        """True after a failure, until the link has worked again."""
        return self.failed_at is not None or self.unconnected_at is not None

    @property
    def first_failed_at(self):
        """Time of the first failure, infinite without one."""
        times = (self.failed_at, self.unconnected_at)
        return min((at for at in times if at is not None), default=math.inf)

    @property
    def has_relapsed(self):
        """True while bytes would end a trial, or what follows from one."""
        return self.probation is not None and (
            self.probation.is_on_trial or self.probation.relapses > 0
        )

    def may_restore(self, *, now):
        """Return whether an open connection shows that the link works."""
        return self.probation is None or self.probation.may_restore(now=now)

    def note_broken_off(self, *, now, seed, is_closed):
        """Note an attempt that was broken off or fell silent.

        Parameters
        ----------
        now : float
        seed : str
            Of the delays, the upstream's name.
        is_closed : bool
            False for silence.
        """
        if is_closed:
            self.closed_at = now
        if self.failed_at is None:
            self.failed_at = now
        if self.probation is None:
            self.probation = Probation(seed=seed)
        self.probation.note_failure(now=now, is_conclusive=is_closed)

    def restore(self, *, now):
        """Note that the link works."""
        if self.failed_at is not None and self.probation is not None:
            self.probation.begin_trial(now=now)
        self.failed_at = None
        self.unconnected_at = None
        self.closed_at = -math.inf

    def note_data(self, *, now, opened_at):
        """Note the arrival of bytes of an answer.

        Parameters
        ----------
        now : float
        opened_at : float
            Time at which their connection was opened. Older connections may
            go on while new ones are reset.
        """
        self.heard_at = now
        self.failed_at = None
        if opened_at > self.closed_at:
            self.closed_at = -math.inf
        if self.doubts:
            self.doubts.clear()
        if self.has_relapsed:
            self.probation.note_data()

    def note_answer_elsewhere(self, *, now):
        """Note that the upstream has answered a peer."""
        self.answered_elsewhere_at = now
        self.doubts.clear()

    def find_heard_age(self, *, now):
        """Return the seconds since the last bytes, None before the first."""
        return None if math.isinf(self.heard_at) else now - self.heard_at

    def note_heard_elsewhere(self, *, at):
        """Note when a peer has received bytes of an answer."""
        self.heard_elsewhere_at = max(self.heard_elsewhere_at, at)

    def is_doubted(self, *, now):
        """Return whether a peer has lately failed to connect."""
        return bool(self.doubts) and max(self.doubts.values()) > now
