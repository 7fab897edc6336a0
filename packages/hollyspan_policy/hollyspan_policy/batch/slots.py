"""Slots of one upstream that batch work may use."""

__all__ = ["BatchGate"]


class BatchGate:
    """Decides how many batch streams the owner of an upstream runs.

    Parameters
    ----------
    slots : int
        Streams that the upstream runs at once.
    reserve : int
        Slots kept free for online arrivals at least.
    harm_weight : float
        Weight of harm to online latency against batch throughput, 0 to 1.
    """

    __slots__ = ("slots", "reserve", "harm_weight", "online")

    def __init__(self, *, slots, reserve, harm_weight):
        self.slots = slots
        self.reserve = reserve
        self.harm_weight = harm_weight
        self.online = 0

    def observe_online(self, online, *, now):
        """Note the online requests in flight from all daemons.

        Parameters
        ----------
        online : int
        now : float
            Monotonic seconds.
        """
        self.online = online

    def count_allowed(self, *, now):
        """Return how many batch streams may run now.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        return max(0, self.slots - self.online - self.reserve)
