"""State of jobs and items at a worker."""

import array
import math

__all__ = ["ItemState", "JobState"]


class ItemState:
    """State of one item.

    Parameters
    ----------
    job_state : JobState
    item : Item
        Without its headers and its body.
    key : int
        Hash of the job and the item.
    shared_parts : tuple of int, optional
        Hashes of the parts of its prompt that other requests may share.

    Attributes
    ----------
    has_result : bool
        True once its result is in the store.
    failures : int
        Number of runs that failed at the upstream, status 500.
    lost_runs : int
        Number of runs in a row that failed before an event, other than by a
        refusal or a status 500. Of the silences at one upstream, the first
        one counts; see `speaks_against_text`.
    silent_at : frozenset of str
        Names of the upstreams at which these runs fell silent.
    was_silent : bool
        True if the last run that failed was abandoned after a silence.
    has_moved : bool
        True if it was abandoned for a free place elsewhere.
    event_data : list of bytes
        Data of the events received so far.
    last_event : int or None
        Number of the last event received.
    version : int or None
        Key of the software version that has written them.
    run : ItemRun or None
        The current run.
    result : ItemResult or None
        The final result; None until the item is done or given up.
    broken_at : str or None
        Name of the upstream at which the last run failed.
    stopped_at : float
        End of the last run, reactor seconds.
    advanced_at : float
        Time of the last event of the runs that have ended, reactor seconds.
    not_before : float
        Time before which the item is not started again, reactor seconds.
    hindrance : str or None
        Why the last attempt to start it has failed.
    owner : str or None
        Identifier of the gateway that runs the item, among `owner_workers`.
    owner_workers : tuple of str or None
        Gateways that could run items when the owner was chosen.
    rank : int or None
        Rank of this gateway behind the owner, from 0, once it was computed.
    short_since : float
        Time since which no upstream has a place for it, reactor seconds.
    claim : (str, int or None) or None
        The peer that has last named the item as its work, and the progress
        that it told.
    claimed_at : float
        Time at which a peer was last seen to name it, reactor seconds.
    idle_since : float
        Time at which the claim or the owner last changed, reactor seconds.
    must_look_up : bool
        True when a peer has named the item, so that it may have a result.
    is_taken : bool
        True when this gateway runs the item though another one owns it, or
        names it as its work.
    held_until : float
        Time until which it waits here for a place after it was taken over
        without one, reactor seconds.
    is_taken_for_trial : bool
        True when it was taken over only to try the block that it falls under.
    """

    __slots__ = (
        "job_state",
        "item",
        "key",
        "shared_parts",
        "has_result",
        "failures",
        "lost_runs",
        "silent_at",
        "was_silent",
        "has_moved",
        "event_data",
        "last_event",
        "version",
        "run",
        "result",
        "broken_at",
        "stopped_at",
        "advanced_at",
        "not_before",
        "hindrance",
        "owner",
        "owner_workers",
        "rank",
        "short_since",
        "claim",
        "claimed_at",
        "idle_since",
        "must_look_up",
        "is_taken",
        "is_taken_for_trial",
        "held_until",
    )

    def __init__(self, *, job_state, item, key, shared_parts=()):
        self.job_state = job_state
        self.item = item
        self.key = key
        self.shared_parts = shared_parts
        self.has_result = False
        self.failures = 0
        self.lost_runs = 0
        self.silent_at = frozenset()
        self.was_silent = False
        self.has_moved = False
        self.event_data = []
        self.last_event = None
        self.version = None
        self.run = None
        self.result = None
        self.broken_at = None
        self.stopped_at = 0.0
        self.advanced_at = 0.0
        self.not_before = 0.0
        self.hindrance = None
        self.owner = None
        self.owner_workers = None
        self.rank = None
        self.short_since = 0.0
        self.claim = None
        self.claimed_at = -math.inf
        self.idle_since = 0.0
        self.must_look_up = False
        self.is_taken = False
        self.is_taken_for_trial = False
        self.held_until = 0.0

    def discard_output(self):
        """Discard the events received, so that the next run starts over."""
        self.event_data = []
        self.last_event = None
        self.version = None


class JobState:
    """State of a job and its items.

    Parameters
    ----------
    job : Job
        With items without their headers and bodies.
    revision : int
        Revision of the store at which the job was created.
    has_read_results : bool
        True when the results in the store have been read.
    seen_at : float, optional
        Time at which the job was first seen here, reactor seconds.

    Attributes
    ----------
    items : dict
        ItemState by identifier; empty once they are forgotten.
    forgotten_keys : array.array
        Keys of the items that are forgotten since all have results.
    is_ended : bool
        True when the client has ended the job.
    is_reading_results : bool
        True while the results are being read.
    is_released : bool
        True once this gateway has begun to release the waiting tokens of the
        ended job.
    finished_among : tuple of str or None
        Gateways that shared the items when all that this one owns had
        results.
    """

    __slots__ = (
        "job",
        "revision",
        "items",
        "forgotten_keys",
        "is_ended",
        "has_read_results",
        "is_reading_results",
        "is_released",
        "seen_at",
        "finished_among",
    )

    def __init__(self, *, job, revision, has_read_results, seen_at=0.0):
        self.seen_at = seen_at
        self.finished_among = None
        self.job = job
        self.revision = revision
        self.items = {}
        self.forgotten_keys = array.array("Q")
        self.is_ended = False
        self.has_read_results = has_read_results
        self.is_reading_results = False
        self.is_released = False

    def is_complete(self):
        """Return whether every item has a result."""
        return all(item_state.has_result for item_state in self.items.values())

    def forget_items(self):
        """Keep the keys alone of the items, which all have results."""
        self.forgotten_keys = array.array(
            "Q", [item_state.key for item_state in self.items.values()]
        )
        self.items = {}
        self.job.drop_items()
