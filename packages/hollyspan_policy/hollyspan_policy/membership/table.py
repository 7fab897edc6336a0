"""Table of the daemons that are heard."""

__all__ = ["MemberTable"]


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
        self.members[member.instance] = member
        for listener in self.listeners:
            listener(member)
        return True

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
        """
        return [
            member
            for member in self.members.values()
            if now - member.heard <= (member.timeout or self.timeout)
            and (leaving or not member.leaving)
            and data_centre in (None, member.data_centre)
        ]


def order(member):
    return member.incarnation, member.sequence
