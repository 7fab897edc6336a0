"""Load of another data centre as input to routing decisions."""

__all__ = ["DataCentreView"]


class DataCentreView:
    """Another data centre as a candidate for forwarding a request.

    Parameters
    ----------
    data_centre : str
    free_slots : int
        Slots free for online requests, as last announced.
    age : float
        Age of that announcement, seconds.
    round_trip : float
        Round-trip time, seconds.
    sent : int, optional
        Requests sent there since that announcement.
    """

    __slots__ = ("data_centre", "free_slots", "age", "round_trip", "sent")

    def __init__(self, *, data_centre, free_slots, age, round_trip, sent=0):
        self.data_centre = data_centre
        self.free_slots = free_slots
        self.age = age
        self.round_trip = round_trip
        self.sent = sent
