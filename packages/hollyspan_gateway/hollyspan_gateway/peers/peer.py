"""State of another gateway."""

import math

import eliot

from hollyspan_policy.hashing import format_hash

__all__ = ["Peer", "PeerChange", "build_identifier", "parse_identifier"]

# Assumed for a gateway that has not announced its heartbeat interval yet.
INITIAL_HEARTBEAT_INTERVAL_S = 0.3
# A gateway fails after three missed heartbeats plus the longest one-way delay
# between regions.
MAX_MISSED_HEARTBEATS = 3
MAX_ONE_WAY_DELAY_S = 0.1
# Share of the upstreams up to which a gateway that cannot reach them still
# does its part of the fleet's work.
MAX_LOST_SHARE = 0.5


class PeerChange:
    """Changes that a message made to the state of a peer.

    Parameters
    ----------
    upstreams : collection of int
        Keys of the upstreams whose load from the peer may have changed.
    is_membership_change : bool
        True when the peer is new or its role in the fleet has changed.
    """

    __slots__ = ("upstreams", "is_membership_change")

    def __init__(self, *, upstreams, is_membership_change):
        self.upstreams = upstreams
        self.is_membership_change = is_membership_change


class Peer:
    """State of another gateway, from its messages.

    Parameters
    ----------
    key : int
        Hash of its name. Messages carry it, so that it is the same at every
        gateway, also at one that does not know the name.
    address : (str, int)

    Attributes
    ----------
    identifier : str
        The key as text.
    last_seen : float or None
        Time of the last message received, reactor seconds.
    last_heartbeat : float or None
        The same of the last full message.
    incarnation, sequence : int
        Of the newest message.
    last_start : int
        The latest start of which it has told, by its clock then.
    successor : (int, int) or None
        Incarnation and sequence of a process that claims an earlier start,
        while the current one is silent.
    loads : dict
        (online, batch) by hash of the upstream's name.
    runs_batch, is_leaving, reaches_store : bool
    items : frozenset of int
        Hashes of the items that it works on.
    progress : dict
        Number that changes with the progress of an item, by its hash.
    tells_waiting : bool
        Whether the items include those between two runs and those whose
        result is being stored.
    finished : frozenset of int
        Hashes of jobs and of the gateways that share their items: those that
        it owns have results in the store.
    crowded_jobs : frozenset of int
        Hashes of jobs of which more items wait there, between two runs, than
        it names; 0 stands for any job.
    job_room : int or None
        Bytes that descriptions of further jobs may take there; None if it
        does not tell.
    live_workers : frozenset of int
        Keys of the gateways that run items and are live at the peer.
    region : int
        Hash of the region's name, 0 before its first full message.
    heartbeat_seconds : float
        Time between its full messages, as announced in them.
    runs_online : bool
        Whether it runs requests, also those of other gateways.
    remembered_since : float
        Time before which it may have forgotten streams, reactor seconds.
    lost_share : float
        Share of the upstreams that it cannot reach, 0 to 1.
    """

    __slots__ = (
        "identifier",
        "address",
        "key",
        "last_seen",
        "last_heartbeat",
        "incarnation",
        "sequence",
        "last_start",
        "successor",
        "loads",
        "runs_batch",
        "is_leaving",
        "reaches_store",
        "items",
        "progress",
        "tells_waiting",
        "finished",
        "crowded_jobs",
        "job_room",
        "live_workers",
        "region",
        "heartbeat_seconds",
        "runs_online",
        "lost_share",
        "remembered_since",
    )

    def __init__(self, *, key, address):
        self.identifier = build_identifier(key)
        self.address = address
        self.key = key
        self.last_seen = None
        self.last_heartbeat = None
        self.incarnation = 0
        self.sequence = 0
        self.last_start = 0
        self.successor = None
        self.loads = {}
        self.runs_batch = False
        self.is_leaving = False
        self.reaches_store = False
        self.items = frozenset()
        self.progress = {}
        self.tells_waiting = False
        self.finished = frozenset()
        self.crowded_jobs = frozenset()
        self.job_room = None
        self.live_workers = frozenset()
        self.region = 0
        self.heartbeat_seconds = INITIAL_HEARTBEAT_INTERVAL_S
        self.runs_online = False
        self.lost_share = 0.0
        self.remembered_since = math.inf

    def apply(self, message, *, now):
        """Update the state from a message.

        Parameters
        ----------
        message : FleetMessage
        now : float

        Returns
        -------
        PeerChange or None
            None for a message that is not newer than the last one.
        """
        if not self.is_newer(message, now=now):
            return None
        order = (message.incarnation, message.sequence)
        changed = {load.upstream for load in message.loads}
        if message.is_full or message.incarnation != self.incarnation:
            changed.update(self.loads)
            self.loads = {}
        # Only full messages tell it.
        role = self.get_role() if message.is_full else None
        self.incarnation, self.sequence = order
        self.last_start = max(self.last_start, message.incarnation)
        self.successor = None
        self.last_seen = now
        if message.is_full:
            self.last_heartbeat = now
            self.runs_batch = message.runs_batch
            self.is_leaving = message.is_leaving
            self.reaches_store = message.reaches_store
            self.items = frozenset(message.items)
            self.progress = dict(zip(message.items, message.progress))
            self.tells_waiting = message.tells_waiting
            self.finished = frozenset(message.finished)
            self.crowded_jobs = frozenset(message.crowded_jobs)
            self.job_room = message.job_room
            self.live_workers = frozenset(message.live_workers)
            self.region = message.region
            self.heartbeat_seconds = message.heartbeat_seconds
            self.runs_online = message.runs_online
            self.lost_share = message.lost_share
            self.remembered_since = now - message.memory_seconds
        for load in message.loads:
            self.loads[load.upstream] = (load.online, load.batch)
        return PeerChange(
            upstreams=changed,
            is_membership_change=(message.is_full and role != self.get_role()),
        )

    def is_newer(self, message, *, now):
        """Return whether a message is newer than the last one.

        Notes
        -----
        Incarnations are numbered by the clock of their start, which may have
        been set back before. A process that claims an earlier start than the
        latest one takes its place once that one is silent for as long as a
        gateway that has failed, and two messages in their order have come
        from it meanwhile. A single late message of an earlier process is not
        enough.
        """
        if message.incarnation == self.incarnation:
            return message.sequence > self.sequence
        if message.incarnation > self.last_start:
            return True
        if self.is_live(now):
            self.successor = None
            return False
        incarnation, sequence = self.successor or (0, 0)
        if message.incarnation != incarnation:
            self.successor = (message.incarnation, message.sequence)
            return False
        if message.sequence <= sequence:
            return False
        eliot.log_message(
            "peer:clock_set_back",
            peer=self.identifier,
            was=self.incarnation,
            incarnation=message.incarnation,
        )
        return True

    def is_live(self, now):
        """Return whether the last message is recent enough."""
        if self.last_seen is None:
            return False
        return (
            now - self.last_seen
            < MAX_MISSED_HEARTBEATS * self.heartbeat_seconds
            + MAX_ONE_WAY_DELAY_S
        )

    def measure_memory(self, now):
        """Return for how long it remembers streams, in seconds."""
        return now - self.remembered_since

    @property
    def is_cut_off(self):
        """True when it cannot reach most of the upstreams."""
        return self.lost_share > MAX_LOST_SHARE

    def get_role(self):
        """Return the state that the membership of the fleet depends on."""
        return (
            self.runs_batch,
            self.is_leaving,
            self.reaches_store,
            self.is_cut_off,
            self.live_workers,
        )


def build_identifier(key):
    """Return the key of a gateway as text."""
    return format_hash(key)


def parse_identifier(identifier):
    """Return the key of a gateway from its text."""
    return int(identifier, 16)
