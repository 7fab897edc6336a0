"""Signs and proofs of the process behind an upstream's entry."""

import math

__all__ = ["IncarnationRecord"]

# Time before a sign from which on a connection may have been opened to the
# next process: events that arrive together are handled in any order.
ORDER_S = 0.1
# Time after a sign in which bytes may still come that the process sent before
# its end.
LATE_BYTES_S = 0.1
# Time after which the store tells of a process that has started: it drops the
# entry of one that has ended, and a new one is back after an outage.
REGISTRATION_S = 5.0


class IncarnationRecord:
    """Tells whether the process that an entry names may have ended.

    Attributes
    ----------
    unproven_since : float or None
        Time of the first sign that it has ended; None while it is taken for
        the process at the address.
    sign_arrived_at : float
        Arrival of the last sign.
    signed_at : float
        Time of the last sign.
    proven_at : float
        Time up to which it has certainly not ended.
    accepted_at : float
        Time at which the address first accepted a connection after the first
        sign; infinite before.
    has_ended_again : bool
        True after a sign behind that time: the next process may have ended,
        too.
    is_gone : bool
        True once another process is known to have its name.
    """

    __slots__ = (
        "unproven_since",
        "sign_arrived_at",
        "signed_at",
        "proven_at",
        "accepted_at",
        "has_ended_again",
        "is_gone",
    )

    def __init__(self):
        self.unproven_since = None
        self.sign_arrived_at = -math.inf
        self.signed_at = -math.inf
        self.proven_at = -math.inf
        self.accepted_at = math.inf
        self.has_ended_again = False
        self.is_gone = False

    @property
    def is_unproven(self):
        """True while the process at the address may be another one."""
        return self.is_gone or self.unproven_since is not None

    def note_sign(self, *, at, now):
        """Note a sign that the process may have ended.

        Parameters
        ----------
        at : float
            Time of the sign, which a peer may have seen.
        now : float

        Returns
        -------
        bool
            True if it is the first since the last proof.
        """
        if at <= self.proven_at:
            return False
        is_first = not self.is_unproven
        self.has_ended_again |= at > self.accepted_at
        self.sign_arrived_at = now
        self.signed_at = max(self.signed_at, at)
        if self.unproven_since is None or at < self.unproven_since:
            self.unproven_since = at
        return is_first

    def note_accepted(self, *, now):
        """Note that the address accepts connections."""
        if self.is_unproven:
            self.accepted_at = min(self.accepted_at, now)

    def note_gone(self):
        """Note that another process has its name."""
        self.is_gone = True
        if self.unproven_since is None:
            self.unproven_since = -math.inf

    def follow(self, earlier, *, now):
        """Take over what tells of this process from the one before.

        Parameters
        ----------
        earlier : IncarnationRecord
        now : float
        """
        if earlier.has_ended_again:
            self.note_sign(at=earlier.signed_at, now=now)

    def has_reached(self, opened_at):
        """Return whether a connection leads to the process of the entry.

        Parameters
        ----------
        opened_at : float
            Time at which the connection was opened.
        """
        return (
            self.unproven_since is None
            or opened_at < self.unproven_since - ORDER_S
        )

    def note_bytes(self, *, opened_at, now):
        """Note bytes over a connection.

        Returns
        -------
        bool
            True if they are the proof that was missing.
        """
        if (
            self.unproven_since is None
            or now <= self.sign_arrived_at + LATE_BYTES_S
            or not self.has_reached(opened_at)
        ):
            return False
        return self.prove(now - LATE_BYTES_S)

    def note_listed(self, *, confirmed_at, connected_since):
        """Note that the store holds the same entry as before.

        Parameters
        ----------
        confirmed_at : float
            Time at which it was certainly current.
        connected_since : float
            Time since which the store has answered.

        Returns
        -------
        bool
            True if this is the proof that was missing.
        """
        since = max(self.sign_arrived_at, connected_since)
        if confirmed_at < since + REGISTRATION_S:
            return False
        return self.prove(self.signed_at)

    def prove(self, at):
        """Note that the process was still there at a time.

        Returns
        -------
        bool
            True if this is the proof that was missing.
        """
        self.proven_at = max(self.proven_at, at)
        if self.is_gone or self.unproven_since is None:
            return False
        if self.signed_at > at:
            return False
        self.unproven_since = None
        self.accepted_at = math.inf
        self.has_ended_again = False
        return True
