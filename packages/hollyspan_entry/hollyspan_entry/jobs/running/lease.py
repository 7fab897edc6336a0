"""The lease that this daemon's claims are bound to."""

import time

import eliot

from hollyspan_core.errors import LeaseLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.leases import LeaseTerm

__all__ = ["LeaseKeeper"]

RENEWALS_PER_TERM = 5


class LeaseKeeper:
    """Holds one lease and renews it.

    Parameters
    ----------
    store : Store
    ttl, margin : float
        Seconds.
    on_lost : callable
        Called without arguments when the lease can no longer be trusted.

    Attributes
    ----------
    lease_id : int
        Identifier, 0 while there is none.
    """

    __slots__ = (
        "store",
        "ttl",
        "margin",
        "on_lost",
        "lease_id",
        "term",
        "stopped",
    )

    def __init__(self, *, store, ttl, margin, on_lost):
        self.store = store
        self.ttl = ttl
        self.margin = margin
        self.on_lost = on_lost
        self.lease_id = 0
        self.term = None
        self.stopped = False

    def check(self):
        """Tell whether new work may be started; report a lapse once.

        Returns
        -------
        bool
        """
        if self.term is None:
            return False
        left = self.term.count_seconds_left(
            now=time.monotonic(), wall_time=time.time()
        )
        if left > 0:
            return True
        self.mark_lost()
        return False

    def mark_lost(self):
        """Give the lease up; the next one is another."""
        eliot.log_message(message_type="jobs:lease-lost", lease=self.lease_id)
        self.lease_id = 0
        self.term = None
        self.on_lost()

    @property
    def renewal_interval_s(self):
        """Seconds between two renewals."""
        return self.ttl / RENEWALS_PER_TERM

    async def maintain(self):
        """Renew the lease, or grant one; called at each interval."""
        if self.stopped:
            return
        try:
            await self.renew()
        except StoreUnavailableError:
            self.check()

    async def renew(self):
        """Renew the lease, or grant one where there is none."""
        sent_at = time.monotonic()
        wall_time = time.time()
        if not self.check():
            lease = await self.store.grant_lease(self.ttl)
            self.lease_id = lease
            self.term = LeaseTerm(
                ttl=self.ttl,
                margin=self.margin,
                sent_at=sent_at,
                wall_time=wall_time,
            )
            return
        lease = self.lease_id
        try:
            await self.store.keep_lease(lease)
        except LeaseLostError:
            if self.lease_id == lease:
                self.mark_lost()
            return
        if self.lease_id == lease:
            self.term.renew(sent_at=sent_at, wall_time=wall_time)

    async def revoke(self):
        """End the lease, so that its claims are free at once."""
        self.stopped = True
        lease, self.lease_id, self.term = self.lease_id, 0, None
        if lease:
            try:
                await self.store.revoke_lease(lease)
            except StoreUnavailableError:
                return
