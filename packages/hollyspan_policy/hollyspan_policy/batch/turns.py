"""Turns of daemons that fill the same free slots with batch work."""

__all__ = ["SlotTurns", "count_turn_slots"]

# Time until all other daemons know of a start: the longest delay between
# regions, the time for which changes are coalesced, and two event loop passes.
PROPAGATION_DELAY_S = 0.03
# A turn at an upstream that was not queried for this time is discarded.
TURN_EXPIRY_S = 0.3


def count_turn_slots(free_slots, *, rank, daemons):
    """Count the free slots of an upstream assigned to one daemon.

    Parameters
    ----------
    free_slots : int
        Number of free slots.
    rank : int
        Rank of the daemon among those that run batch work, from 0.
    daemons : int
        Number of daemons that run batch work.

    Returns
    -------
    int
        Slots are assigned round-robin, so that the assignments of all daemons
        together cover each slot exactly once.

    Examples
    --------
    >>> [count_turn_slots(4, rank=rank, daemons=3) for rank in range(3)]
    [2, 1, 1]
    """
    return max(0, -(-(free_slots - rank) // daemons))


class SlotTurns:
    """Turns of one daemon at one upstream.

    Attributes
    ----------
    turn_start : float or None
        Start of the current turn, monotonic seconds.
    free_slots : int
        Number of free slots at that time.
    started : int
        Number of slots that this daemon has filled since then.
    unused_turns : int
        Number of consecutive turns in which the same slots stayed free.

    Notes
    -----
    Load pattern: more items wait than there are slots, and all daemons
    observe at the same moment that an online request has freed a slot.
    Without turns, each of them starts an item there, and all but one of these
    are stopped once the counts of the others arrive. The daemons whose turn it
    is may have nothing to run, so the rank of the others is halved with each
    turn in which slots stay free.
    """

    __slots__ = ("turn_start", "free_slots", "started", "unused_turns")

    def __init__(self):
        self.turn_start = None
        self.free_slots = 0
        self.started = 0
        self.unused_turns = 0

    def count_startable(self, free_slots, *, rank, daemons, now):
        """Count the slots that this daemon may fill now.

        Parameters
        ----------
        free_slots : int
            Known number of free slots.
        rank, daemons : int
            See `count_turn_slots`.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        if (
            self.turn_start is None
            or free_slots > self.free_slots - self.started
        ):
            self.start_turn(free_slots, now, unused_turns=0)
        elif now - self.turn_start >= PROPAGATION_DELAY_S:
            is_unused = (
                free_slots > 0 and free_slots == self.free_slots - self.started
            )
            is_recent = now - self.turn_start < TURN_EXPIRY_S
            unused_turns = (
                self.unused_turns + 1 if is_unused and is_recent else 0
            )
            self.start_turn(free_slots, now, unused_turns=unused_turns)
        turn_slots = count_turn_slots(
            self.free_slots, rank=rank >> self.unused_turns, daemons=daemons
        )
        return min(free_slots, turn_slots - self.started)

    def start_turn(self, free_slots, now, *, unused_turns):
        """Start a new turn."""
        self.unused_turns = unused_turns
        self.turn_start = now
        self.free_slots = free_slots
        self.started = 0

    def record_start(self):
        """Record that this daemon has filled a slot."""
        self.started += 1
