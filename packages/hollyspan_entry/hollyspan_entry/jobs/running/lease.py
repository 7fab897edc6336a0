"""The store lease to which the claims of this daemon are bound."""

import time

import eliot

from hollyspan_core.errors import LeaseLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.leases import LeaseTerm

__all__ = ["LeaseKeeper"]

RENEWALS_PER_TERM = 5


class LeaseKeeper:
    """Acquires a lease and renews it.

    Parameters
    ----------
    store : Store
    ttl : float
        Time to live of the lease in seconds.
    margin : float
        Seconds before the expiry from which the lease is not relied on.
    on_lost : callable
        Called without arguments when the lease can no longer be relied on.

    Attributes
    ----------
    lease_id : int
        Identifier of the lease, 0 while there is none.
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
        """Return True if the lease is valid, so that work may be started.

        Calls `on_lost` once when the lease has expired.

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
        """Drop the lease; the next renewal acquires a new one."""
        eliot.log_message(message_type="jobs:lease-lost", lease=self.lease_id)
        self.lease_id = 0
        self.term = None
        self.on_lost()

    @property
    def renewal_interval_s(self):
        """Interval between renewals in seconds."""
        return self.ttl / RENEWALS_PER_TERM

    async def maintain(self):
        """Renew or acquire the lease; called once per renewal interval."""
        if self.stopped:
            return
        try:
            await self.renew()
        except StoreUnavailableError:
            self.check()

    async def renew(self):
        """Renew the lease, or acquire a new one if there is none."""
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
            await self.store.renew_lease(lease)
        except LeaseLostError:
            if self.lease_id == lease:
                self.mark_lost()
            return
        if self.lease_id == lease:
            self.term.renew(sent_at=sent_at, wall_time=wall_time)

    async def revoke(self):
        """Revoke the lease, which releases its claims at once."""
        self.stopped = True
        lease, self.lease_id, self.term = self.lease_id, 0, None
        if lease:
            try:
                await self.store.revoke_lease(lease)
            except StoreUnavailableError:
                return
