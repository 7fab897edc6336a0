"""Membership table of a daemon."""

from .state import MemberState

__all__ = ["MemberTable"]

SUSPECT_TIMEOUT_FRACTION = 0.6


class MemberTable:
    """Membership state by daemon, maintained from heartbeats.

    Parameters
    ----------
    timeout : float
        Seconds without a heartbeat after which a daemon counts as failed.

    Attributes
    ----------
    members : dict
        Member by instance, including failed ones.
    listeners : list of callable
        Called with the Member of each heartbeat that updates the table.

    Notes
    -----
    A restarted daemon has a higher incarnation and replaces its earlier
    entry; late heartbeats of the earlier incarnation are ignored. A daemon
    that has announced its shutdown stays in the state ``LEAVING`` for the rest
    of its incarnation, whatever the order in which its heartbeats arrive.
    """

    __slots__ = ("timeout", "members", "listeners")

    def __init__(self, *, timeout):
        self.timeout = timeout
        self.members = {}
        self.listeners = []

    def observe(self, member):
        """Record a heartbeat, ignoring it unless it is the latest.

        Parameters
        ----------
        member : Member

        Returns
        -------
        bool
            True when the heartbeat is later than the recorded one.
        """
        previous = self.members.get(member.instance)
        if previous is not None and heartbeat_order(
            previous
        ) >= heartbeat_order(member):
            return False
        if previous is not None and previous.incarnation == member.incarnation:
            member.leaving = member.leaving or previous.leaving
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
            None for a daemon without any heartbeat.
        """
        member = self.members.get(instance)
        if member is None:
            return None
        silence = now - member.last_seen
        timeout = member.timeout or self.timeout
        if silence > timeout:
            return MemberState.FAILED
        if member.leaving:
            return MemberState.LEAVING
        if silence > timeout * SUSPECT_TIMEOUT_FRACTION:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def list_live(self, *, now, data_centre=None, leaving=False):
        """List the live daemons.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        data_centre : str, optional
            Restrict the list to this data centre.
        leaving : bool, optional
            Whether to include daemons that are shutting down.

        Returns
        -------
        list of Member
            Includes suspected daemons: ownership would otherwise move with
            each lost heartbeat.
        """
        return [
            member
            for member in self.members.values()
            if now - member.last_seen <= (member.timeout or self.timeout)
            and (leaving or not member.leaving)
            and data_centre in (None, member.data_centre)
        ]

    def list_silent(self, expected, *, now):
        """List the expected daemons without a recent heartbeat.

        Parameters
        ----------
        expected : iterable of str
            Daemons that the platform lists as ready.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Expected daemons that are suspected, failed or unknown.
        """
        silent_states = (None, MemberState.SUSPECT, MemberState.FAILED)
        return [
            instance
            for instance in expected
            if self.find_state(instance, now=now) in silent_states
        ]

    def forget(self, *, before):
        """Evict the daemons without a heartbeat since a given time.

        Parameters
        ----------
        before : float
            Monotonic seconds. Must lie further back than any heartbeat can
            be delayed, because the incarnation is dropped too.

        Returns
        -------
        list of str
            Names of the evicted daemons.
        """
        expired = [
            name
            for name, member in self.members.items()
            if member.last_seen < before
        ]
        for name in expired:
            del self.members[name]
        return expired


def heartbeat_order(member):
    return member.incarnation, member.sequence
