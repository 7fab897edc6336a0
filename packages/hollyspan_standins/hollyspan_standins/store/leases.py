"""Leases that delete their keys when they expire."""

__all__ = ["Leases"]

FIRST_LEASE_ID = 7587862094856000000


class Lease:
    """Lease with the keys attached to it."""

    __slots__ = ("ttl_seconds", "keys", "timer")

    def __init__(self, *, ttl_seconds):
        self.ttl_seconds = ttl_seconds
        self.keys = set()
        self.timer = None


class Leases:
    """All leases of the store.

    Parameters
    ----------
    clock : IReactorTime
        Schedules the expiry.
    delete_keys : callable
        Deletes a list of keys from the keyspace.
    """

    def __init__(self, *, clock, delete_keys):
        self.clock = clock
        self.delete_keys = delete_keys
        self.leases = {}
        self.last_id = FIRST_LEASE_ID

    def __contains__(self, lease_id):
        return lease_id in self.leases

    def grant(self, ttl_seconds, lease_id=0):
        """Create a lease and return its identifier."""
        if not lease_id:
            self.last_id += 1
            lease_id = self.last_id
        self.leases[lease_id] = Lease(ttl_seconds=ttl_seconds)
        self.keep_alive(lease_id)
        return lease_id

    def keep_alive(self, lease_id):
        """Restart the time to live and return it, 0 if there is no lease."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        self._stop_timer(lease)
        lease.timer = self.clock.callLater(
            lease.ttl_seconds, self.revoke, lease_id
        )
        return lease.ttl_seconds

    def revoke(self, lease_id):
        """Revoke a lease and delete its keys; return whether it existed."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        self._stop_timer(lease)
        self.delete_keys(sorted(lease.keys))
        return True

    def move_key(self, key, old_lease_id, new_lease_id):
        """Move a key from one lease to another; 0 means no lease."""
        if old_lease_id in self.leases:
            self.leases[old_lease_id].keys.discard(key)
        if new_lease_id in self.leases:
            self.leases[new_lease_id].keys.add(key)

    def _stop_timer(self, lease):
        if lease.timer is not None and lease.timer.active():
            lease.timer.cancel()
