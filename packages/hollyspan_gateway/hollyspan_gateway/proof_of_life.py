"""How old the knowledge of routes, upstreams and ended jobs is."""

import collections
import functools
import math
import random

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.freshness import choose_asking_age
from hollyspan_policy.freshness import choose_retry_interval
from hollyspan_policy.freshness import choose_watch_wait
from hollyspan_policy.freshness import rank_watcher
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.membership import is_small_fleet
from hollyspan_policy.workspaces import estimate_age

from .clock import wait
from .store import WATCH_TIMEOUT_S

__all__ = ["JOBS_PROOF_INTERVAL_S", "ProofOfLife"]

# Time between two proofs while all is well: below the bounds on configuration
# and departures (2.5 s) and on the end of jobs (3 s).
PROOF_INTERVAL_S = 1.5
JOBS_PROOF_INTERVAL_S = 1.8
# Longest wait in a turn: below the 20 s of history that the store keeps for a
# watch that waits.
MAX_TURN_S = 18.0
# Keeps watches from ending at one moment, when none hears of the others.
MAX_TURN_JITTER_S = 0.04
# Age from which on no item is started: below the bound on the end of jobs.
MAX_JOBS_AGE_S = 2.7
# Age at which a proof that is told at once counts from its arrival: above the
# slowest answers of a store in service.
MAX_FRESH_AGE_S = 0.4
# Interval of the checks; datagrams may have waited for two of them.
CHECK_INTERVAL_S = 0.1
# Wait of a watch that asks whether there are changes: the store answers at
# once.
ASKING_WAIT_S = 0.001
# Time that the own watch has to deliver what asking has found, and that it
# takes once it is opened again.
WATCH_GRACE_S = 0.3
HASH_RANGE = 2**64
# Turns that are remembered of each copy.
MAX_TURNS = 24


class ProofOfLife:
    """Keeps the copies of the store's entries proven to be recent.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    copies : dict
        ProvenCopy by name.
    checked_at : collections.deque
        Times of the last two checks, on the boot clock. Datagrams and answers
        that arrived before the first of them have been read.
    is_started : bool
    asked, found : int
        Calls to the store because of a proof that was late, and those of them
        that found changes which the own watch had not delivered.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.copies = {}
        self.checked_at = collections.deque([-math.inf] * 2, maxlen=2)
        self.is_started = False
        self.asked = 0
        self.found = 0

    def follow(self, name, mirror, *, interval=PROOF_INTERVAL_S):
        """Keep the copy of a mirror proven.

        Parameters
        ----------
        name : str
            Name of the field of a message with the revision of the copy.
        mirror : Mirror
        interval : float, optional
            Time between two proofs, seconds.
        """
        copy = ProvenCopy(name=name, mirror=mirror, interval=interval)
        self.copies[name] = copy
        mirror.clock = self.read_clock
        mirror.choose_wait = functools.partial(self.choose_wait, copy)
        mirror.measure_stall = self.measure_stall
        mirror.on_proof = functools.partial(self.announce, copy)

    def start(self):
        """Check from now on whether the store has to be asked."""
        self.is_started = True
        self.check()

    def read_clock(self):
        return self.gateway.boot_clock()

    def measure_stall(self):
        """Return the seconds for which input may not have been read."""
        if not self.is_started:
            return 0.0
        return self.read_clock() - self.checked_at[0]

    def check(self):
        """Ask the store if no proof has come in time."""
        self.gateway.reactor.callLater(CHECK_INTERVAL_S, self.check)
        self.checked_at.append(self.read_clock())
        for copy in self.copies.values():
            if self.must_ask(copy):
                defer.ensureDeferred(self.ask(copy)).addErrback(
                    eliot.write_failure
                )

    def measure_age(self, name):
        """Return the age of a copy in seconds, 0 for one that is not kept."""
        copy = self.copies.get(name)
        return 0.0 if copy is None else copy.mirror.age

    def may_start_items(self):
        """Return whether the ends of jobs are known up to a recent time."""
        copy = self.copies.get("jobs")
        return (
            not self.is_started
            or copy is None
            or copy.mirror.age <= MAX_JOBS_AGE_S
        )

    def choose_wait(self, copy, *, is_first):
        """Return how long the next watch of a copy waits."""
        if not self.is_started or self.is_confirmed(copy):
            return WATCH_TIMEOUT_S
        others = self.list_others(copy)
        return choose_watch_wait(
            rank_watcher(
                self.gateway.peers.identifier, name=copy.name, others=others
            ),
            watchers=len(others) + 1,
            interval=copy.interval,
            longest=MAX_TURN_S,
            is_first=is_first,
            peer_ages=[self.read_clock() - at for at in copy.turns],
        ) + random.uniform(0.0, MAX_TURN_JITTER_S)

    def is_confirmed(self, copy):
        """Return whether calls that confirm keys prove a copy anyway."""
        return (
            copy.name == "configuration"
            and self.gateway.confirmation.is_required
        )

    def list_others(self, copy):
        """Return the identifiers of the others that take turns at a copy.

        Notes
        -----
        In a large fleet only those that run batch work surely watch.
        """
        live = self.gateway.peers.list_live()
        is_limited = copy.name == "jobs" or not is_small_fleet(len(live))
        return [
            peer.identifier
            for peer in live
            if peer.reaches_store
            and not peer.is_leaving
            and (peer.runs_batch or not is_limited)
        ]

    def must_ask(self, copy):
        """Return whether to ask the store now."""
        mirror = copy.mirror
        if (
            copy.is_asking
            or mirror.needs_listing
            or not mirror.is_connected
            or not mirror.must_watch()
        ):
            return False
        now = self.read_clock()
        age = now - max(copy.heard_at, mirror.proven_at, mirror.answered_at)
        if age < choose_asking_age(0, interval=copy.interval, chance=0.0):
            return False
        identifier = self.gateway.peers.identifier
        rank = rank_watcher(
            identifier, name=copy.name, others=self.list_others(copy)
        )
        chance = hash_parts("asking", copy.name, identifier) / HASH_RANGE
        return age >= choose_asking_age(
            rank, interval=copy.interval, chance=chance
        ) and now - copy.attempted_at >= choose_retry_interval(rank)

    async def ask(self, copy):
        """Ask the store whether there are changes."""
        gateway = self.gateway
        mirror = copy.mirror
        sent_at = copy.attempted_at = self.read_clock()
        copy.is_asking = True
        self.asked += 1
        try:
            page = await mirror.store.watch(
                mirror.prefix, after=mirror.revision, seconds=ASKING_WAIT_S
            )
            if page.entries:
                self.tell(**{copy.name: page.changed_revision})
                await wait(gateway.reactor, WATCH_GRACE_S)
            if page.entries and mirror.revision < page.changed_revision:
                self.found += 1
                eliot.log_message(
                    f"{copy.name}:watch_silent",
                    revision=mirror.revision,
                    newer=page.changed_revision,
                    age=mirror.age,
                )
                self.reopen(copy.mirror)
                await wait(gateway.reactor, WATCH_GRACE_S)
            elif not mirror.needs_listing:
                mirror.prove(sent_at)
                copy.heard_at = self.read_clock()
            self.announce(copy)
        except StoreHistoryLostError:
            mirror.refresh()
        except StoreUnavailableError as error:
            eliot.log_message(
                f"{copy.name}:not_proven",
                reason=error.message,
                age=mirror.age,
            )
        finally:
            copy.is_asking = False

    def reopen(self, mirror):
        """Open a watch that has fallen silent again, and that of blocks."""
        mirror.reopen()
        # Its connection was opened before, too, and it is proven by nobody.
        self.gateway.guard.records.mirror.reopen()

    def announce(self, copy):
        """Tell the peers up to which revision a copy is proven."""
        if self.is_started:
            self.tell(**self.describe_copy(copy))

    def tell(self, **fields):
        peers = self.gateway.peers
        peers.send_change(peers.list_live(), **fields)

    def describe(self):
        """Return the ages of all copies for a full message."""
        ages = {}
        for copy in self.copies.values():
            described = self.describe_copy(copy)
            name = f"{copy.name}_age"
            if name in described:
                ages[name] = described[name]
        return ages

    def describe_copy(self, copy):
        """Return the revision of a copy and its age for a message."""
        described = {copy.name: self.find_revision(copy)}
        age = copy.mirror.age
        if self.is_started and age < math.inf:
            described[f"{copy.name}_age"] = age
        return described

    def find_revision(self, copy):
        """Return the revision of the last change that is in force here."""
        if copy.name == "configuration":
            return self.gateway.configuration_revision
        return copy.mirror.changed_revision

    def note_message(self, message):
        """Apply the ages that a peer tells.

        Parameters
        ----------
        message : FleetMessage
        """
        now = self.read_clock()
        for copy in self.copies.values():
            age = getattr(message, f"{copy.name}_age")
            mirror = copy.mirror
            revision = getattr(message, copy.name)
            if (
                age is None
                or mirror.needs_listing
                or revision > mirror.revision
            ):
                continue
            is_fresh = not message.is_full and age <= MAX_FRESH_AGE_S
            copy.heard_at = max(copy.heard_at, now - (0 if is_fresh else age))
            if is_fresh:
                copy.turns.append(now)
            mirror.prove(now - estimate_age(age, stall=self.measure_stall()))


class ProvenCopy:
    """A mirror and what is known of its age.

    Attributes
    ----------
    heard_at : float
        Time at which the newest proof was asked for here or was new at a
        peer, without the margins for its way here, on the boot clock.
    attempted_at : float
        Time of the last call that asked the store, on the boot clock.
    is_asking : bool
    turns : collections.deque
        Times at which peers have told of a new proof, on the boot clock.
    """

    __slots__ = (
        "name",
        "mirror",
        "interval",
        "heard_at",
        "attempted_at",
        "is_asking",
        "turns",
    )

    def __init__(self, *, name, mirror, interval):
        self.name = name
        self.mirror = mirror
        self.interval = interval
        self.heard_at = -math.inf
        self.attempted_at = -math.inf
        self.is_asking = False
        self.turns = collections.deque(maxlen=MAX_TURNS)
