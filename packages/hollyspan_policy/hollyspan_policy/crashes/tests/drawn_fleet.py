"""Drawn fleet whose upstreams end, of several causes, in simulated time."""

import heapq
import itertools
import random

from hollyspan_policy.crashes import choose_blocks
from hollyspan_policy.crashes import CrashEvidence
from hollyspan_policy.crashes import may_be_coincidence

__all__ = ["COMMON", "DrawnFleet"]

# Part that all streams and some jobs share, and the first of the streams'.
COMMON = 1
FIRST_STREAM_PART = 100
SLOTS = 4
DECISION_DELAY_S = 0.2
DETECTION_S = 0.05
RESTART_S = 1.5
SURVIVAL_S = 0.5
# Time from the start at an upstream to the first bytes, and to the end of an
# upstream by a fatal request.
ITEM_START_S = 0.4
END_DELAY_S = 0.1


class Run:
    """One request at one upstream."""

    __slots__ = ("keys", "fingerprint", "has_survived", "on_lost")

    def __init__(self, *, keys, fingerprint, on_lost):
        self.keys = keys
        self.fingerprint = fingerprint
        self.has_survived = False
        self.on_lost = on_lost


class Incarnation:
    """One upstream from its start to its end."""

    __slots__ = ("key", "runs", "is_live")

    def __init__(self, *, key):
        self.key = key
        # In the order of their starts.
        self.runs = {}
        self.is_live = True


class DrawnFleet:
    """Upstreams, what runs there, and what the gateways decide.

    Attributes
    ----------
    decided : dict
        Time of the first decision and whether it is in doubt, by block.
    sees_idle : bool
        Whether gateways see the ends of upstreams without requests.
    sent, ended : dict of list
        Times of the sends of fatal requests, and of the ends by them, by
        their part or fingerprint.
    """

    def __init__(self, *, seed, upstreams):
        self.random = random.Random(seed)
        self.now = 0.0
        self.calls = []
        self.numbers = itertools.count(1000)
        self.upstreams = [self.build() for _ in range(upstreams)]
        self.evidence = CrashEvidence()
        self.sees_idle = False
        self.is_decision_due = False
        self.blocks = {}
        self.decided = {}
        self.sent = {}
        self.ended = {}

    def build(self):
        return Incarnation(key=next(self.numbers))

    def call_at(self, at, function, *arguments):
        entry = (max(at, self.now), next(self.numbers), function, arguments)
        heapq.heappush(self.calls, entry)

    def run(self, until):
        while self.calls and self.calls[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.calls)
            function(*arguments)
        self.now = until

    def choose(self):
        """Return one of the upstreams with the fewest requests, or None."""
        live = [
            each
            for each in self.upstreams
            if each.is_live and len(each.runs) < SLOTS
        ]
        fewest = min((len(each.runs) for each in live), default=0)
        live = [each for each in live if len(each.runs) == fewest]
        return self.random.choice(live) if live else None

    def is_blocked(self, keys):
        return any(block.issubset(keys) for block in self.blocks)

    def start(self, keys, *, fingerprint=0, first, seconds, on_lost, fatal=0):
        """Send a request that is answered, or ends its upstream."""
        upstream = self.choose()
        if upstream is None:
            self.call_at(self.now + 0.1, on_lost)
            return
        run = Run(keys=keys, fingerprint=fingerprint, on_lost=on_lost)
        upstream.runs[run] = True
        if fatal:
            self.sent.setdefault(fatal, []).append(self.now)
            self.call_at(self.now + END_DELAY_S, self.crash, upstream, fatal)
            return
        survived_at = self.now + min(first + SURVIVAL_S, seconds)
        self.call_at(survived_at, self.survive, upstream, run)
        self.call_at(self.now + seconds, upstream.runs.pop, run, None)

    def survive(self, upstream, run):
        if upstream.is_live:
            run.has_survived = True
            self.evidence.note_survival(run.keys, at=self.now)
            for block in list(self.blocks):
                if block.issubset(run.keys):
                    del self.blocks[block]

    def crash(self, upstream, fatal):
        if upstream.is_live:
            self.ended.setdefault(fatal, []).append(self.now)
            self.end(upstream)

    def end(self, upstream):
        upstream.is_live = False
        runs, upstream.runs = upstream.runs, {}
        detected_at = self.now + self.random.uniform(0.0, DETECTION_S)
        self.call_at(detected_at, self.detect, upstream.key, runs)
        place = self.upstreams.index(upstream)
        self.call_at(self.now + RESTART_S, self.restart, place)

    def restart(self, place):
        self.upstreams[place] = self.build()

    def end_share(self, share, *, spared=0):
        """End a share of the upstreams at one moment, one at least."""
        live = [each for each in self.upstreams if each.is_live]
        count = min(max(1, round(len(live) * share)), len(live) - spared)
        for upstream in self.random.sample(live, max(0, count)):
            self.end(upstream)

    def detect(self, key, runs):
        for run in runs:
            run.on_lost()
        if not runs:
            if self.sees_idle:
                self.evidence.note_other_end(key, at=self.now)
            return
        suspects = [run for run in runs if not run.has_survived]
        self.evidence.note_end(
            key,
            {run.keys for run in suspects},
            at=self.now,
            fingerprints={run.fingerprint for run in suspects} - {0},
        )
        if not self.is_decision_due:
            self.is_decision_due = True
            self.call_at(self.now + DECISION_DELAY_S, self.decide)

    def decide(self):
        ends = self.evidence.list_ends(now=self.now)
        due = [e for e in ends if e.at <= self.now - DECISION_DELAY_S + 1e-6]
        later = [end for end in ends if end not in due]
        self.is_decision_due = bool(later)
        if later:
            at = min(end.at for end in later) + DECISION_DELAY_S
            self.call_at(at, self.decide)
        survivals = self.evidence.survivals
        beside = later + self.evidence.list_beside(now=self.now)
        blocks = choose_blocks(
            due, survivals=survivals, blocked=self.blocks, beside=beside
        )
        for block in blocks:
            is_doubtful = may_be_coincidence(
                block, due, survivals=survivals, beside=beside
            )
            self.decided.setdefault(block, (self.now, is_doubtful))
            self.blocks[block] = self.now

    def send_streams(self, rate, *, parts=6):
        """Send sound streams of clients, some a second."""
        fingerprint = next(self.numbers)
        part = FIRST_STREAM_PART + self.random.randrange(parts)
        keys = (COMMON, part, fingerprint)

        def send(tries):
            if tries and not self.is_blocked(keys):
                self.start(
                    keys,
                    fingerprint=fingerprint,
                    first=self.random.uniform(0.03, 0.1),
                    seconds=self.random.uniform(1.0, 5.0),
                    on_lost=lambda: send(tries - 1),
                )

        send(4)
        self.call_at(
            self.now + self.random.expovariate(rate),
            lambda: self.send_streams(rate, parts=parts),
        )

    def send_fatal_streams(self, part, rate, *, fingerprint=0):
        """Send requests with a fatal part, or a fatal one again and again."""
        own = fingerprint or next(self.numbers)
        keys = (COMMON, part, own)

        def send(tries):
            if tries and not self.is_blocked(keys):
                self.start(
                    keys,
                    fingerprint=own,
                    first=0.0,
                    seconds=0.0,
                    on_lost=lambda: send(tries - 1),
                    fatal=fingerprint or part,
                )

        send(self.random.choice((1, 2, 4)))
        self.call_at(
            self.now + self.random.expovariate(rate),
            lambda: self.send_fatal_streams(
                part, rate, fingerprint=fingerprint
            ),
        )

    def send_job(self, items, keys, *, fatal=0):
        """Send the items of a job, which are sent again when lost."""
        for _ in range(items):
            at = self.now + self.random.uniform(0.0, 0.02)
            self.call_at(at, self.send_item, keys, 0, fatal)

    def send_item(self, keys, losses, fatal):
        if self.is_blocked(keys):
            return

        def send_again():
            delay = 0.15
            if losses:
                delay *= 2**losses * self.random.uniform(0.5, 1.0)
            self.call_at(
                self.now + min(delay, 10.0),
                self.send_item,
                keys,
                losses + 1,
                fatal,
            )

        self.start(
            keys,
            first=ITEM_START_S,
            seconds=self.random.uniform(1.2, 2.5),
            on_lost=send_again,
            fatal=fatal,
        )
