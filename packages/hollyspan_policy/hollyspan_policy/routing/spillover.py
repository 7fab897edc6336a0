"""Choice of another data centre for a request."""

import math

from ..hashing import hash_parts

__all__ = ["choose_data_centre", "estimate_room"]

SECONDS_PER_MEGABYTE = 2.0
BYTES_PER_MEGABYTE = 1_000_000
ROOM_DECAY_SECONDS = 2.0
LEAST_GAIN_SECONDS = 0.1


def choose_data_centre(places, *, wait_seconds, content_bytes, seed):
    """Choose a data centre that answers sooner than the own one.

    Parameters
    ----------
    places : iterable of DataCentreView
        The other data centres.
    wait_seconds : float
        Expected wait for a slot in the own data centre.
    content_bytes : int
        Expected bytes of request and answer.
    seed : str
        Key of the request.

    Returns
    -------
    DataCentreView or None
        None when the request is better kept.

    Notes
    -----
    Bytes between regions are paid for, so they count as time: a request
    goes elsewhere only when the wait saved outweighs the round trip and
    the bytes. Among the places that do, the request's key chooses, with
    the room there as the weight, so that daemons do not all turn to one.

    Examples
    --------
    >>> from hollyspan_policy.routing import DataCentreView
    >>> place = DataCentreView(
    ...     data_centre="kriti-a", free_slots=4, age=0.2, round_trip=0.05
    ... )
    >>> chosen = choose_data_centre(
    ...     [place], wait_seconds=1.0, content_bytes=2000, seed="r1"
    ... )
    >>> chosen.data_centre
    'kriti-a'
    """

    def compute_gain(place):
        price = content_bytes / BYTES_PER_MEGABYTE * SECONDS_PER_MEGABYTE
        return wait_seconds - place.round_trip - price

    def weigh(place):
        # Weighted rendezvous hashing over the estimated room.
        share = (hash_parts(seed, place.data_centre) + 1) / (2**64 + 1)
        return -estimate_room(place) / math.log(share)

    worthwhile = [
        place
        for place in places
        if estimate_room(place) >= 1
        and compute_gain(place) >= LEAST_GAIN_SECONDS
    ]
    return max(worthwhile, key=weigh, default=None)


def estimate_room(place):
    """Estimate the room that a data centre still has.

    Parameters
    ----------
    place : DataCentreView

    Returns
    -------
    float
        Slots; fades as the word ages.
    """
    fading = math.exp(-place.age / ROOM_DECAY_SECONDS)
    return place.free_slots * fading - place.sent
