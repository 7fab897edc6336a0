"""Leases that delete their keys when they expire."""

__all__ = ["Leases"]

FIRST_LEASE = 7587862094856000000


class Lease:
    """One lease with the keys bound to it."""

    __slots__ = ("ttl_seconds", "keys", "timer")

    def __init__(self, *, ttl_seconds):
        self.ttl_seconds = ttl_seconds
        self.keys = set()
        self.timer = None


class Leases:
    """All leases.

    Parameters
    ----------
    clock : IReactorTime
        Runs the expiry.
    delete_keys : callable
        Deletes a list of keys from the keyspace.
    """

    def __init__(self, *, clock, delete_keys):
        self.clock = clock
        self.delete_keys = delete_keys
        self.leases = {}
        self.last = FIRST_LEASE

    def __contains__(self, number):
        return number in self.leases

    def grant(self, ttl_seconds, number=0):
        """Create a lease and return its number."""
        if not number:
            self.last += 1
            number = self.last
        self.leases[number] = Lease(ttl_seconds=ttl_seconds)
        self.keep_alive(number)
        return number

    def keep_alive(self, number):
        """Start the time to live anew; return it, 0 for no such lease."""
        lease = self.leases.get(number)
        if lease is None:
            return 0
        self._stop_timer(lease)
        lease.timer = self.clock.callLater(
            lease.ttl_seconds, self.revoke, number
        )
        return lease.ttl_seconds

    def revoke(self, number):
        """End a lease and delete its keys; False for no such lease."""
        lease = self.leases.pop(number, None)
        if lease is None:
            return False
        self._stop_timer(lease)
        self.delete_keys(sorted(lease.keys))
        return True

    def bind(self, key, old, new):
        """Move a key from one lease to another; 0 means none."""
        if old in self.leases:
            self.leases[old].keys.discard(key)
        if new in self.leases:
            self.leases[new].keys.add(key)

    def _stop_timer(self, lease):
        if lease.timer is not None and lease.timer.active():
            lease.timer.cancel()
