"""Rate limit of one upstream and the share of this gateway."""

import math

from hollyspan_policy.rates import RateBucket

__all__ = ["LimitReport", "RateLimit"]

# Time for which peers are told that a limit has ended.
END_ANNOUNCEMENT_S = 15.0


class LimitReport:
    """What an upstream has last said of its limit, for peers.

    Parameters
    ----------
    per_second : float or None
        Requests a second; None when it has ended its limit.
    age : float
        Time since then, seconds.
    """

    __slots__ = ("per_second", "age")

    def __init__(self, *, per_second, age):
        self.per_second = per_second
        self.age = age


class RateLimit:
    """Limit on the requests that an upstream accepts from all gateways.

    Attributes
    ----------
    per_second : float or None
        Requests a second; None without a limit.
    seen_at : float
        Time of the answer, here or at a peer, that this comes from, reactor
        seconds.
    ended_at : float
        Time at which the last limit ended.
    bucket : RateBucket or None
        This gateway's share.
    """

    __slots__ = ("per_second", "seen_at", "ended_at", "bucket")

    def __init__(self):
        self.per_second = None
        self.seen_at = -math.inf
        self.ended_at = -math.inf
        self.bucket = None

    def note(self, per_second, *, at):
        """Apply what an answer says, unless it is older than the last one.

        Returns
        -------
        bool
            True when the limit has changed.
        """
        if at <= self.seen_at:
            return False
        self.seen_at = at
        if per_second == self.per_second:
            return False
        if per_second is None:
            self.ended_at = at
            self.bucket = None
        self.per_second = per_second
        return True

    def set_share(self, rate, *, now):
        """Set this gateway's share, requests a second."""
        if self.bucket is None:
            self.bucket = RateBucket(rate=rate, now=now)
        else:
            self.bucket.set_rate(rate, now=now)

    def may_send(self, *, now, is_continued=False):
        """Return whether this gateway may send a request now."""
        return self.bucket is None or self.bucket.may_send(
            now=now, is_continued=is_continued
        )

    def is_saving(self, *, now):
        """Return whether requests that are not sent now are saved."""
        return self.bucket is not None and not self.bucket.is_full(now=now)

    def spend(self, *, now):
        """Count a request that this gateway sends."""
        if self.bucket is not None:
            self.bucket.spend(now=now)

    def build_report(self, *, now):
        """Return a LimitReport for peers, None if there is nothing to tell."""
        if self.per_second is None and (
            now - self.ended_at > END_ANNOUNCEMENT_S
        ):
            return None
        return LimitReport(
            per_second=self.per_second, age=max(0.0, now - self.seen_at)
        )
