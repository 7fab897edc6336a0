"""What a daemon knows of another data centre."""

__all__ = ["DataCentreView"]


class DataCentreView:
    """Another data centre as seen when a request may be sent there.

    Parameters
    ----------
    data_centre : str
    free_slots : int
        Room for online requests, as last told.
    age : float
        Age of that word, seconds.
    round_trip : float
        Seconds.
    sent : int, optional
        Requests sent there since that word.
    """

    __slots__ = ("data_centre", "free_slots", "age", "round_trip", "sent")

    def __init__(self, *, data_centre, free_slots, age, round_trip, sent=0):
        self.data_centre = data_centre
        self.free_slots = free_slots
        self.age = age
        self.round_trip = round_trip
        self.sent = sent
