"""Ways to count waiting tokens over a fleet, in simulated time.

    python -m benchmarks.quota [--gateways=67] [--seeds=1,2,3]

Jobs arrive at random gateways, more of them than the limit allows, while
workers finish items at a steady rate. Each way to count is played with a usual
store, a slow one and one that loses answers.
"""

import json
import random
import types

import fire
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import QuotaExceededError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.store import TOKEN_BYTES
from hollyspan_gateway.clock import wait
from hollyspan_gateway.jobs import ItemResult
from hollyspan_gateway.jobs.job_state import ItemState
from hollyspan_gateway.jobs.job_state import JobState
from hollyspan_gateway.jobs.quota import QuotaLedger
from hollyspan_gateway.jobs.quota import UNSETTLED_LIMIT_S
from hollyspan_gateway.jobs.records import encode_job
from hollyspan_gateway.jobs.records import JOBS_PREFIX
from hollyspan_gateway.jobs.releases import ReleaseWriter
from hollyspan_gateway.store import Store
from hollyspan_standins.memory import build_job
from hollyspan_standins.memory import build_route
from hollyspan_standins.memory import MemoryWire

__all__ = ["compare"]

LIMIT = 480_000
ITEMS_PER_JOB = 10
TOKENS_PER_ITEM = 1_800
JOBS_PER_SECOND = 10
ITEMS_PER_SECOND = 25
WORKERS = 7
SECONDS = 20.0
STEP_S = 0.005
# Age of a mirrored view: the coalescing delay of a watch and the way there.
MIRROR_AGE_S = 0.4
# A refused job that did not fit this long before was not refused wrongly.
SETTLING_S = 1.0
ROUTE = build_route(name="b", max_waiting_tokens=LIMIT)
STORES = {
    "usual": {"latency": 0.02, "loss": 0.0},
    "slow": {"latency": 0.35, "loss": 0.0},
    "lossy": {"latency": 0.02, "loss": 0.2},
}


class DelayedWire(MemoryWire):
    """In-memory store with the latency of a network and lost answers."""

    def __init__(self, *, reactor, latency, loss, generator):
        super().__init__(reactor=reactor)
        self.latency = latency
        self.loss = loss
        self.generator = generator
        self.job_writes = 0

    async def read_page(self, prefix, *, after, may_be_stale=False):
        await wait(self.reactor, self.latency / 2)
        page = await super().read_page(
            prefix, after=after, may_be_stale=may_be_stale
        )
        await wait(self.reactor, self.latency / 2)
        return page

    async def read(self, key):
        await wait(self.reactor, self.latency)
        return await super().read(key)

    async def commit(self, *, expected, values, removed):
        self.job_writes += any(key.startswith(JOBS_PREFIX) for key in values)
        await wait(self.reactor, self.latency / 2)
        commit = await super().commit(
            expected=expected, values=values, removed=removed
        )
        await wait(self.reactor, self.latency / 2)
        if self.generator.random() < self.loss:
            raise StoreReplyLostError("reply lost")
        return commit


class MirroredCount:
    """Baseline: accepts by a mirrored count with a margin, without a lock.

    Parameters
    ----------
    gateway : object
    fleet : Fleet
    margin : float
        Share of the limit that is left free for what is not seen yet.
    """

    def __init__(self, *, gateway, fleet, margin):
        self.gateway = gateway
        self.fleet = fleet
        self.margin = margin
        self.unseen = []

    async def create_record(self, job, route):
        now = self.gateway.reactor.seconds()
        self.unseen = [
            (at, tokens)
            for at, tokens in self.unseen
            if now - at < MIRROR_AGE_S
        ]
        waiting = self.fleet.read_mirror(now - MIRROR_AGE_S)
        waiting += sum(tokens for _, tokens in self.unseen)
        limit = route.max_waiting_tokens * (1 - self.margin)
        if waiting + job.count_tokens() > limit:
            raise QuotaExceededError("no room in the mirrored count")
        self.unseen.append((now, job.count_tokens()))
        await self.gateway.store.create(encode_job(job))
        return True


class Fleet:
    """Gateways, workers and the truth about what waits."""

    def __init__(self, *, way, shares, store, gateways, seed):
        self.generator = random.Random(seed)
        self.reactor = task.Clock()
        self.wire = DelayedWire(
            reactor=self.reactor, generator=self.generator, **STORES[store]
        )
        self.store = Store(
            wire=self.wire,
            reactor=self.reactor,
            create_token=lambda: self.generator.randbytes(TOKEN_BYTES),
        )
        self.ledgers = [
            self.build_ledger(way, shares, f"f{number}")
            for number in range(gateways)
        ]
        self.writers = [
            ReleaseWriter(gateway=self.build_gateway(f"w{number}"))
            for number in range(WORKERS)
        ]
        self.waiting = 0
        self.history = [(0.0, 0)]
        self.pending = []
        self.latencies = []
        self.counts = dict.fromkeys(
            ("accepted", "refused", "wrongly_refused", "failed"), 0
        )
        self.most_waiting = 0

    def build_gateway(self, name):
        return types.SimpleNamespace(
            reactor=self.reactor,
            store=self.store,
            settings=types.SimpleNamespace(instance=name),
        )

    def build_ledger(self, way, shares, name):
        gateway = self.build_gateway(name)
        if way.startswith("mirrored"):
            margin = float(way.partition(" ")[2])
            return MirroredCount(gateway=gateway, fleet=self, margin=margin)
        ledger = QuotaLedger(gateway=gateway, share_count=shares)
        ledger.note_limits([ROUTE])
        # The limit has been in force for long.
        ledger.limits = {
            quota: (limit, -UNSETTLED_LIMIT_S)
            for quota, (limit, _) in ledger.limits.items()
        }
        return ledger

    def read_mirror(self, at):
        """Return what waited at an earlier time."""
        return next(
            (tokens for time, tokens in reversed(self.history) if time <= at),
            0,
        )

    def change_waiting(self, tokens):
        self.waiting += tokens
        self.history.append((self.reactor.seconds(), self.waiting))

    async def submit(self, name):
        job = build_job(name, tokens=[TOKENS_PER_ITEM] * ITEMS_PER_JOB)
        started = self.reactor.seconds()
        ledger = self.generator.choice(self.ledgers)
        try:
            await ledger.create_record(job, ROUTE)
        except QuotaExceededError:
            self.counts["refused"] += 1
            earlier = self.read_mirror(self.reactor.seconds() - SETTLING_S)
            if max(self.waiting, earlier) + job.count_tokens() <= LIMIT:
                self.counts["wrongly_refused"] += 1
            return
        except StoreUnavailableError:
            self.counts["failed"] += 1
            return
        self.counts["accepted"] += 1
        self.latencies.append(self.reactor.seconds() - started)
        self.change_waiting(job.count_tokens())
        self.most_waiting = max(self.most_waiting, self.waiting)
        self.pending += [(job, item) for item in job.items]

    async def finish_item(self, job, item):
        self.change_waiting(-item.tokens)
        if job.reservation is None:
            return
        state = ItemState(
            job_state=JobState(job=job, has_read_results=True),
            item=item,
            key=1,
        )
        state.result = ItemResult(
            identifier=item.identifier, is_done=True, output=b""
        )
        await self.generator.choice(self.writers).store_result(state)

    def play(self):
        """Play the arrivals and the ends of items."""
        due_items, number = 0.0, 0
        while self.reactor.seconds() < SECONDS:
            if self.generator.random() < JOBS_PER_SECOND * STEP_S:
                number += 1
                start(self.submit(f"j{number}"))
            due_items += ITEMS_PER_SECOND * STEP_S
            while due_items >= 1 and self.pending:
                due_items -= 1
                start(self.finish_item(*self.pending.pop(0)))
            due_items = min(due_items, 1.0)
            self.reactor.advance(STEP_S)

    def describe(self):
        """Return the figures of the run."""
        answered = sorted(self.latencies)
        jobs = sum(self.counts.values())
        calls = {
            name: round(self.wire.calls.count(name) / jobs, 2)
            for name in ("read_stale_page", "read_page", "read")
        }
        return {
            **self.counts,
            "overshoot": round(max(0, self.most_waiting / LIMIT - 1), 3),
            "use": round(self.most_waiting / LIMIT, 3),
            "p50": round(answered[len(answered) // 2], 3),
            "p99": round(answered[len(answered) * 99 // 100], 3),
            "writes": round(self.wire.job_writes / jobs, 2),
            **calls,
        }


def start(work):
    def check(failure):
        failure.trap(HollyspanError)

    defer.ensureDeferred(work).addErrback(check)


def compare(*, gateways=67, seeds=(1, 2, 3)):
    """Play all ways to count and print a line of JSON for each run."""
    seeds = seeds if isinstance(seeds, (list, tuple)) else (seeds,)
    ways = {"one counter": 1, "8 shares": 8, "32 shares": 32}
    ways |= {"mirrored 0.0": 1, "mirrored 0.2": 1}
    for store in STORES:
        for way, shares in ways.items():
            for seed in seeds:
                fleet = Fleet(
                    way=way,
                    shares=shares,
                    store=store,
                    gateways=gateways,
                    seed=seed,
                )
                fleet.play()
                row = {"store": store, "way": way, "seed": seed}
                print(json.dumps({**row, **fleet.describe()}), flush=True)


if __name__ == "__main__":
    fire.Fire(compare)
