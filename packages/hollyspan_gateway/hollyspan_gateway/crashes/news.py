"""Messages to other gateways about ended upstreams and blocks."""

import math

from .notices import BlockNotice
from .notices import EndNotice
from .notices import OtherEndNotice
from .notices import SurvivalNotice

__all__ = ["CrashNews"]

# Time for which notices are gathered into one message.
COALESCING_DELAY_S = 0.01
# Time for which heartbeats repeat a notice: several rounds of the longest
# heartbeat interval, so that lost datagrams do not matter.
REPETITION_S = 15.0
# Limits the size of a message to one datagram of the usual size; the newest
# notices are sent.
MAX_KEYS_PER_KIND = 48
MAX_OTHER_ENDS = 48
# Limit on the notices that are remembered.
MAX_REMEMBERED = 256


class CrashNews:
    """Tells the other gateways of ends, survivals and blocks.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    ends : dict
        (requests, fingerprints, time) of the ends seen here, by the
        upstream's key.
    survivals : dict
        Time of a survival by the keys, of those told here or by a peer.
    told : dict
        Time of the last message about a survival by the keys, sent or
        received.
    """

    __slots__ = (
        "gateway",
        "ends",
        "survivals",
        "told",
        "unsent_ends",
        "unsent_other_ends",
        "unsent_survivals",
        "unsent_blocks",
        "send_call",
    )

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.ends = {}
        self.survivals = {}
        self.told = {}
        self.unsent_ends = set()
        self.unsent_other_ends = {}
        self.unsent_survivals = set()
        self.unsent_blocks = set()
        self.send_call = None

    def tell_end(self, key, requests, *, at, fingerprints=frozenset()):
        """Tell of an upstream that ended with requests of this gateway."""
        if key in self.ends:
            earlier, earlier_fingerprints, at = self.ends[key]
            requests = requests.union(earlier)
            fingerprints = fingerprints.union(earlier_fingerprints)
        chosen = limit_requests(requests)
        fingerprints = fingerprints.intersection(set().union(*chosen))
        remember(self.ends, key, (chosen, fingerprints, at))
        self.unsent_ends.add(key)
        self.schedule_send()

    def tell_other_end(self, key, *, at, has_unread=False):
        """Tell of an upstream that ended without requests that may cause it.

        Heartbeats do not repeat it, since they come after the decision.

        Parameters
        ----------
        key : int
        at : float
        has_unread : bool, optional
            True if it may not have read some that were in flight.
        """
        self.unsent_other_ends[key] = at, has_unread
        self.schedule_send()

    def tell_confirmation(self, key):
        """Tell that an end is confirmed, if it was seen here."""
        if key in self.ends:
            self.unsent_ends.add(key)
            self.schedule_send()

    def tell_survival(self, keys, *, at):
        """Tell that an upstream has survived a request."""
        self.remember_survival(keys, at)
        remember(self.told, keys, self.gateway.reactor.seconds())
        self.unsent_survivals.add(keys)
        self.schedule_send()

    def has_told(self, keys, *, since):
        """Return whether a message told of a survival after a time."""
        return self.told.get(keys, -math.inf) > since

    def note_refutation(self, keys, *, at):
        """Include a refutation that all gateways read in heartbeats."""
        self.remember_survival(tuple(sorted(keys)), at)

    def remember_survival(self, keys, at):
        # Messages come in any order, and heartbeats repeat old ones.
        remember(self.survivals, keys, max(at, self.survivals.get(keys, at)))

    def tell_block(self, block):
        """Tell of a new block, or of a trial that begins or has ended."""
        self.unsent_blocks.add(block.keys)
        self.schedule_send()

    def list_told(self):
        """Return the last survival by key, as told here or by a peer."""
        told = {}
        for keys, at in self.survivals.items():
            for key in keys:
                told[key] = max(at, told.get(key, at))
        return told

    def is_refuted(self, keys, *, since):
        """Return whether a blocked request was survived later."""
        return any(
            at > since and keys.issubset(survived)
            for survived, at in self.survivals.items()
        )

    def schedule_send(self):
        if self.send_call is None:
            self.send_call = self.gateway.reactor.callLater(
                COALESCING_DELAY_S, self.send
            )

    def send(self):
        """Send the notices that were not sent yet to all live gateways."""
        self.send_call = None
        table = self.gateway.peers
        notices = self.build_notices(
            ends=self.unsent_ends,
            survivals=self.unsent_survivals,
            blocks=self.unsent_blocks,
        )
        self.unsent_ends = set()
        self.unsent_survivals = set()
        self.unsent_blocks = set()
        if any(notices.values()):
            table.send_change(table.list_live(), **notices)
        others = list(self.unsent_other_ends.items())[-MAX_OTHER_ENDS:]
        self.unsent_other_ends = {}
        if others:
            # One datagram has no room for all kinds.
            now = self.gateway.reactor.seconds()
            table.send_change(
                table.list_live(),
                other_ends=[
                    OtherEndNotice(
                        upstream=key, age=now - at, has_unread=has_unread
                    )
                    for key, (at, has_unread) in others
                ],
            )

    def describe(self):
        """Return the notices for a full message to peers."""
        self.forget_old()
        return self.build_notices(
            ends=self.ends,
            survivals=self.survivals,
            blocks=self.gateway.guard.blocks,
        )

    def forget_old(self):
        now = self.gateway.reactor.seconds()
        for key, (_, _, at) in list(self.ends.items()):
            if now - at > REPETITION_S:
                del self.ends[key]
        for keys, at in list(self.survivals.items()):
            if now - at > REPETITION_S:
                del self.survivals[keys]

    def build_notices(self, *, ends, survivals, blocks):
        now = self.gateway.reactor.seconds()
        known_blocks = self.gateway.guard.blocks
        evidence = self.gateway.guard.evidence
        return {
            "ends": [
                EndNotice(
                    upstream=key,
                    requests=requests,
                    fingerprints=sorted(fingerprints),
                    age=now - at,
                    is_confirmed=not evidence.is_in_doubt(key),
                )
                for key, (requests, fingerprints, at) in limit_notices(
                    self.ends, ends, count=count_keys_of_end
                )
            ],
            "survivals": [
                SurvivalNotice(keys=keys, age=now - at)
                for keys, at in limit_notices(self.survivals, survivals)
            ],
            "blocks": [
                BlockNotice(
                    keys=tuple(sorted(keys)),
                    age=now - block.at,
                    failed_trials=block.failed_trials,
                    void_trials=block.void_trials,
                    is_tried=self.gateway.guard.trials.is_tried_here(block),
                )
                for keys, block in limit_notices(known_blocks, blocks)
            ],
        }

    def apply(self, message):
        """Apply the notices in a peer's message."""
        guard = self.gateway.guard
        now = self.gateway.reactor.seconds()
        for notice in message.ends:
            guard.apply_end(
                notice.upstream,
                notice.requests,
                fingerprints=notice.fingerprints,
                at=now - notice.age,
                is_confirmed=notice.is_confirmed,
            )
        for notice in message.other_ends:
            if notice.has_unread:
                guard.evidence.note_unread(
                    notice.upstream, at=now - notice.age
                )
            else:
                guard.evidence.note_other_end(
                    notice.upstream, at=now - notice.age
                )
        for notice in message.survivals:
            at = now - notice.age
            remember(self.told, notice.keys, now)
            if notice.age < REPETITION_S:
                self.remember_survival(notice.keys, at)
            guard.apply_survival(notice.keys, at=at)
        for notice in message.blocks:
            guard.apply_block(
                frozenset(notice.keys),
                at=now - notice.age,
                failed_trials=notice.failed_trials,
                void_trials=notice.void_trials,
            )
            guard.trials.schedule.note_elsewhere(
                frozenset(notice.keys),
                message.sender,
                is_tried=notice.is_tried,
            )


def remember(entries, key, value):
    """Set the newest entry of a bounded dict."""
    entries.pop(key, None)
    entries[key] = value
    if len(entries) > MAX_REMEMBERED:
        del entries[next(iter(entries))]


def limit_requests(requests):
    """Return as many requests as fit into a message."""
    chosen = []
    room = MAX_KEYS_PER_KIND
    for keys in sorted(requests, key=lambda keys: (len(keys), keys)):
        room -= len(keys)
        if room >= 0:
            chosen.append(keys)
    return chosen


def count_keys_of_end(key, value):
    return sum(map(len, value[0]))


def limit_notices(entries, keys, *, count=lambda keys, value: len(keys)):
    """Return the newest entries with the given keys that fit into a message.

    Parameters
    ----------
    entries : dict
        The oldest first.
    keys : collection
    count : callable, optional
        Returns the number of keys in an entry, by default of its own key.

    Returns
    -------
    list of (key, value)
    """
    chosen = []
    room = MAX_KEYS_PER_KIND
    for key in reversed(entries):
        if key not in keys:
            continue
        room -= count(key, entries[key])
        if room < 0:
            break
        chosen.append((key, entries[key]))
    return chosen
