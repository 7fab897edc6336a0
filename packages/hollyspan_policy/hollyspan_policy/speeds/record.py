"""What is known of the speed of one upstream."""

import math

__all__ = ["SlownessRecord"]

# Time over which told figures are averaged: they change several times in it,
# and a request waits for its first event about as long.
RECENT_TIME_CONSTANT_S = 0.3
# Time after which a deviation from the usual is believed by 1/e only: what
# else runs on the machine changes within a second.
FADING_TIME_S = 0.5
# Time over which the usual of a machine is averaged.
USUAL_TIME_CONSTANT_S = 20.0
# Figures beyond these are believed as far as these.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 10.0
# Weight of one measured run in the exponential moving average, and the number
# of runs that are believed as much as what is told.
RUN_WEIGHT = 0.1
TRUSTED_RUNS = 4


class SlownessRecord:
    """How long work takes at one upstream, 1.0 as usual.

    Attributes
    ----------
    recent, usual : float
        Averages of the told figures over a fraction of a second and over many
        seconds.
    told_at : float or None
        Time of the last told figure, monotonic seconds; None without one.
    measured : float
        Average of what runs there took, relative to those of all upstreams.
    runs : int
        Number of runs in it, as far as it matters.

    Notes
    -----
    Load pattern: servers of different speeds that share their machines with
    other work, which makes requests take up to 2.5 times as long and changes
    several times a second, while reports of one server come some times a
    second and are up to a second old. A deviation that is told is therefore
    averaged and fades with its age; what remains is the usual speed of the
    server, which is measured from its answers.

    Examples
    --------
    >>> record = SlownessRecord()
    >>> record.estimate(now=0.0)
    1.0
    >>> record.note_told(2.0, now=0.0)
    >>> round(record.estimate(now=0.0), 2), round(record.estimate(now=9.0), 2)
    (2.0, 1.0)
    """

    __slots__ = ("recent", "usual", "told_at", "measured", "runs")

    def __init__(self):
        self.recent = 1.0
        self.usual = 1.0
        self.told_at = None
        self.measured = 1.0
        self.runs = 0

    @property
    def is_told(self):
        """True when the upstream tells how long work takes."""
        return self.told_at is not None

    def note_told(self, slowness, *, now):
        """Record a figure that the upstream has told.

        Parameters
        ----------
        slowness : float
        now : float
            Monotonic seconds.
        """
        slowness = limit(slowness)
        if self.told_at is None:
            self.recent = slowness
        else:
            elapsed = max(0.0, now - self.told_at)
            self.recent += compute_weight(elapsed, RECENT_TIME_CONSTANT_S) * (
                slowness - self.recent
            )
            self.usual += compute_weight(elapsed, USUAL_TIME_CONSTANT_S) * (
                slowness - self.usual
            )
        self.told_at = now

    def note_measured(self, slowness):
        """Record how long a run took, relative to those of all upstreams."""
        self.runs = min(self.runs + 1, round(1 / RUN_WEIGHT))
        weight = max(RUN_WEIGHT, 1 / self.runs)
        self.measured += weight * (limit(slowness) - self.measured)

    def estimate(self, *, now):
        """Estimate how long work takes at a time.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
        """
        told = self.usual
        if self.told_at is not None:
            fading = math.exp(-max(0.0, now - self.told_at) / FADING_TIME_S)
            told += (self.recent - self.usual) * fading
        if not self.runs:
            return told
        trust = self.runs / (self.runs + TRUSTED_RUNS)
        return told * (self.measured / self.usual) ** trust


def limit(slowness):
    """Return a figure within the limits of belief."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def compute_weight(elapsed, time_constant):
    """Return the weight of a new value in a moving average over time."""
    return 1 - math.exp(-elapsed / time_constant)
