"""Event counters by service and kind of objective."""

from .key import BurnKey
from .window import LONG_MINUTES
from .window import SHORT_MINUTES
from .window import Window

__all__ = ["BurnCounters"]

SECONDS_PER_MINUTE = 60


class BurnCounters:
    """Counts events that meet or miss their service-level objective.

    Parameters
    ----------
    data_centre : str
        Data centre of this daemon.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = ("data_centre", "clock", "windows")

    def __init__(self, *, data_centre, clock):
        self.data_centre = data_centre
        self.clock = clock
        self.windows = {}

    def record(self, *, service, kind, good):
        """Count one event.

        Parameters
        ----------
        service : str
        kind : str
            Kind of the objective, as in the configuration.
        good : bool
            Whether the event meets the objective.
        """
        key = BurnKey(service=service, kind=kind)
        minute = self.read_minute()
        if key not in self.windows:
            self.windows[key] = Window(minute=minute)
        self.windows[key].record(good=good, minute=minute)

    def read_minute(self):
        """Return the current minute of the clock."""
        return int(self.clock() // SECONDS_PER_MINUTE)

    def summarise(self):
        """Return the counts as a JSON object.

        Returns
        -------
        dict
            ``rows``, each with service, data centre, kind of objective,
            window in seconds, and the numbers of good and of all events.
        """
        minute = self.read_minute()
        rows = []
        for key, window in sorted(self.windows.items()):
            for minutes in (SHORT_MINUTES, LONG_MINUTES):
                good, total = window.count(minutes=minutes, minute=minute)
                rows.append(
                    {
                        "service": key.service,
                        "data_centre": self.data_centre,
                        "kind": key.kind,
                        "window_s": minutes * SECONDS_PER_MINUTE,
                        "good": good,
                        "total": total,
                    }
                )
        return {"rows": rows}
