"""Table of the daemons that are heard."""

from .state import MemberState

__all__ = ["MemberTable"]

SUSPECT_FRACTION = 0.6


class MemberTable:
    """Daemons by name, from their heartbeats.

    Parameters
    ----------
    timeout : float
        Seconds of silence after which a daemon counts as failed.

    Attributes
    ----------
    members : dict
        Member by instance, with those that have failed.
    listeners : list of callable
        Called with each Member that is news.

    Notes
    -----
    A daemon that was started again has a higher incarnation and replaces
    the one before; heartbeats of the earlier incarnation that come late
    are passed over. A daemon that has announced its stop stays leaving for
    the rest of its incarnation, in whatever order its heartbeats come.
    """

    __slots__ = ("timeout", "members", "listeners")

    def __init__(self, *, timeout):
        self.timeout = timeout
        self.members = {}
        self.listeners = []

    def observe(self, member):
        """Take in a heartbeat; older ones are passed over.

        Parameters
        ----------
        member : Member

        Returns
        -------
        bool
            True when the heartbeat is news.
        """
        known = self.members.get(member.instance)
        if known is not None and order(known) >= order(member):
            return False
        if known is not None and known.incarnation == member.incarnation:
            member.leaving = member.leaving or known.leaving
        self.members[member.instance] = member
        for listener in self.listeners:
            listener(member)
        return True

    def find_state(self, instance, *, now):
        """Return the state of a daemon.

        Parameters
        ----------
        instance : str
        now : float
            Monotonic seconds.

        Returns
        -------
        MemberState or None
            None for a daemon that was never heard.
        """
        member = self.members.get(instance)
        if member is None:
            return None
        silence = now - member.heard
        timeout = member.timeout or self.timeout
        if silence > timeout:
            return MemberState.FAILED
        if member.leaving:
            return MemberState.LEAVING
        if silence > timeout * SUSPECT_FRACTION:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def list_live(self, *, now, data_centre=None, leaving=False):
        """List the daemons that are live.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        data_centre : str, optional
            Only those of one data centre.
        leaving : bool, optional
            With those that are about to stop.

        Returns
        -------
        list of Member
            Suspects are among them: ownership would otherwise move at each
            lost heartbeat.
        """
        return [
            member
            for member in self.members.values()
            if now - member.heard <= (member.timeout or self.timeout)
            and (leaving or not member.leaving)
            and data_centre in (None, member.data_centre)
        ]

    def list_silent(self, expected, *, now):
        """List the daemons that should be heard and are not.

        Parameters
        ----------
        expected : iterable of str
            Daemons that the platform lists as ready.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
        """
        lost = (None, MemberState.SUSPECT, MemberState.FAILED)
        return [
            instance
            for instance in expected
            if self.find_state(instance, now=now) in lost
        ]

    def forget(self, *, before):
        """Drop the daemons that were not heard since a time.

        Parameters
        ----------
        before : float
            Monotonic seconds; longer ago than any heartbeat can be late,
            for the incarnation is forgotten too.

        Returns
        -------
        list of str
            Their names.
        """
        gone = [
            name
            for name, member in self.members.items()
            if member.heard < before
        ]
        for name in gone:
            del self.members[name]
        return gone


def order(member):
    return member.incarnation, member.sequence
