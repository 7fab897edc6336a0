"""Daemons that were spoken to and stay silent."""

__all__ = ["Probes"]

PAUSE_SECONDS = 30.0


class Probes:
    """Keeps link partners from being chosen while they stay silent.

    Parameters
    ----------
    patience : float
        Seconds of silence after which a daemon is left out.
    pause : float, optional
        Seconds after which a silent daemon is tried again.
    """

    __slots__ = ("patience", "pause", "times")

    def __init__(self, *, patience, pause=PAUSE_SECONDS):
        self.patience = patience
        self.pause = pause
        self.times = {}

    def send(self, name, *, now):
        """Note that a daemon was spoken to.

        Parameters
        ----------
        name : str
        now : float
            Monotonic seconds.
        """
        first = self.times.setdefault(name, now)
        if now - first >= self.pause:
            self.times[name] = now

    def hear(self, name):
        """Note that a daemon has spoken.

        Parameters
        ----------
        name : str
        """
        self.times.pop(name, None)

    def select(self, names, *, now):
        """Leave out the silent daemons, unless all are silent.

        Parameters
        ----------
        names : iterable of str
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
        """
        names = list(names)
        return [n for n in names if not self.is_silent(n, now=now)] or names

    def is_silent(self, name, *, now):
        """Return whether a daemon is left out for now."""
        first = self.times.get(name)
        if first is None:
            return False
        return self.patience < now - first < self.pause
