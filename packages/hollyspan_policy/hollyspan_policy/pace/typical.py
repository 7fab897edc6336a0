"""Typical times of the answers of upstreams."""

__all__ = ["TypicalTimes"]

# Weight of one answer in the exponential moving average.
WEIGHT = 0.05


class TypicalTimes:
    """Moving averages of the times to first events and of pauses.

    Attributes
    ----------
    first_event, pause : float or None
        Seconds; None before the first answer.
    """

    __slots__ = ("first_event", "pause")

    def __init__(self):
        self.first_event = None
        self.pause = None

    def note_first_event(self, elapsed):
        """Include the time to the first event of an answer."""
        self.first_event = update_average(self.first_event, elapsed)

    def note_pause(self, pause):
        """Include the time between two events of an answer."""
        self.pause = update_average(self.pause, pause)


def update_average(average, value):
    if average is None:
        return value
    return average + WEIGHT * (value - average)
