"""Whose turn it is to fill a free slot when several daemons run batch work."""

__all__ = ["SlotTurns", "count_claimable"]

# Seconds in which word of a start reaches the other daemons: the longest way
# between regions, the time for which changes are gathered, and two loops.
WORD_S = 0.03
# Seconds without a look at an upstream after which its turns begin anew.
IDLE_S = 0.3


def count_claimable(room, *, rank, daemons):
    """Count the free slots of an upstream that are one daemon's to take.

    Parameters
    ----------
    room : int
        Free slots.
    rank : int
        Place of the daemon among those that run batch work, from 0.
    daemons : int
        Their number.

    Returns
    -------
    int
        Free slots are dealt out in turn, so that all daemons together take
        each one once.

    Examples
    --------
    >>> [count_claimable(4, rank=rank, daemons=3) for rank in range(3)]
    [2, 1, 1]
    """
    return max(0, -(-(room - rank) // daemons))


class SlotTurns:
    """Turns of one daemon at one upstream.

    Attributes
    ----------
    since : float or None
        Start of the present turn.
    room : int
        Free slots then.
    taken : int
        Slots that this daemon has taken since.
    age : int
        Turns in which the same slots stayed free.

    Notes
    -----
    Load pattern: more items wait than there are slots, and a slot that an
    online request gives back is seen by all daemons at the same moment.
    Without turns each of them starts an item there, and all but one are
    stopped when word of the others comes. Those whose turn it is may have
    nothing to run, so with each turn in which slots stay free the rank of the
    others halves.
    """

    __slots__ = ("since", "room", "taken", "age")

    def __init__(self):
        self.since = None
        self.room = 0
        self.taken = 0
        self.age = 0

    def count_open(self, room, *, rank, daemons, now):
        """Count the slots that this daemon may fill now.

        Parameters
        ----------
        room : int
            Free slots as far as known.
        rank, daemons : int
            See `count_claimable`.
        now : float

        Returns
        -------
        int
        """
        if self.since is None or room > self.room - self.taken:
            self.begin(room, now, age=0)
        elif now - self.since >= WORD_S:
            stayed = room > 0 and room == self.room - self.taken
            is_recent = now - self.since < IDLE_S
            age = self.age + 1 if stayed and is_recent else 0
            self.begin(room, now, age=age)
        claimable = count_claimable(
            self.room, rank=rank >> self.age, daemons=daemons
        )
        return min(room, claimable - self.taken)

    def begin(self, room, now, *, age):
        """Begin a turn."""
        self.age = age
        self.since = now
        self.room = room
        self.taken = 0

    def note_taken(self):
        """Take note that this daemon has filled a slot."""
        self.taken += 1
