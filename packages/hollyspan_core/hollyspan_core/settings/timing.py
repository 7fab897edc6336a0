"""Intervals and timeouts of a daemon."""

__all__ = ["Timing"]


class Timing:
    """Intervals and timeouts, all in seconds, with their defaults.

    Parameters
    ----------
    **overrides : float
        Values that replace defaults.
    """

    DEFAULTS = {
        "heartbeat": 0.5,
        "peer_timeout": 2.0,
        "instances_poll": 1.0,
        "load_poll": 0.5,
        "health_poll": 1.0,
        "lease": 10.0,
        "lease_margin": 2.0,
        "store_timeout": 2.0,
        "watch_refresh": 5.0,
        "configuration_poll": 5.0,
        "connect_timeout": 1.0,
        "order_timeout": 2.0,
        "drain_notice": 2.0,
        "drain_limit": 60.0,
        "part_flush": 5.0,
    }

    __slots__ = tuple(DEFAULTS)

    def __init__(self, **overrides):
        for name, seconds in self.DEFAULTS.items():
            setattr(self, name, overrides.get(name, seconds))
