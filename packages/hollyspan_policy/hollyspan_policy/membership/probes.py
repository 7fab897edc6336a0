"""Tracking of daemons that do not respond to messages."""

__all__ = ["Probes"]

RETRY_INTERVAL_S = 30.0


class Probes:
    """Excludes silent link partners from selection.

    Parameters
    ----------
    silence_timeout : float
        Seconds without a response after which a daemon is excluded.
    retry_interval : float, optional
        Seconds from the first unanswered message until a silent daemon is
        retried.
    """

    __slots__ = ("silence_timeout", "retry_interval", "first_sent_at")

    def __init__(self, *, silence_timeout, retry_interval=RETRY_INTERVAL_S):
        self.silence_timeout = silence_timeout
        self.retry_interval = retry_interval
        self.first_sent_at = {}

    def record_sent(self, name, *, now):
        """Record that a message was sent to a daemon.

        Parameters
        ----------
        name : str
        now : float
            Monotonic seconds.
        """
        first = self.first_sent_at.setdefault(name, now)
        if now - first >= self.retry_interval:
            self.first_sent_at[name] = now

    def record_received(self, name):
        """Record that a message was received from a daemon.

        Parameters
        ----------
        name : str
        """
        self.first_sent_at.pop(name, None)

    def select(self, names, *, now):
        """Exclude the silent daemons, unless all are silent.

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
        """Return whether a daemon is currently excluded as silent."""
        first = self.first_sent_at.get(name)
        if first is None:
            return False
        return self.silence_timeout < now - first < self.retry_interval
