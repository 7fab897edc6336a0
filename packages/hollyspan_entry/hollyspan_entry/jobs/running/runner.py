"""Running of jobs on the upstreams that this daemon owns."""

import time

from twisted.internet import defer

from hollyspan_core.configuration import Scope
from hollyspan_policy.retries import compute_backoff

from ..results import RecordKind
from .claiming import claim_wanted
from .counters import JobCounters
from .draining import drain_runner
from .execution import execute
from .lease import LeaseKeeper
from .overdue import cancel_overdue
from .overdue import put_back_long_paused
from .ownership import build_guard
from .ownership import refresh_slots
from .run import Run
from .upkeep import maintain_chunk
from .upkeep import release_chunk
from .watcher import log_failure
from .watcher import QueueWatcher

__all__ = ["JobRunner", "TICK_SECONDS"]

# Twice the shortest pause before an item's second attempt.
RETRY_SECONDS = 1.0
TICK_SECONDS = 0.1
RATE_WEIGHT = 0.02


class JobRunner:
    """Holds chunks and runs their items.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    chunks : dict
        HeldChunk by job and chunk.
    claiming : set of (str, int)
        Claims under way.
    slots : dict
        UpstreamSlots by upstream.
    rate : float
        Items finished here a second, smoothed.
    guard : PauseGuard
        Keeps the daemon from owning upstreams right after a pause.
    """

    def __init__(self, *, runtime):
        timing = runtime.settings.timing
        self.runtime = runtime
        self.store = runtime.store
        self.chunks = {}
        self.claiming = set()
        self.slots = {}
        self.counters = JobCounters()
        self.rate = 0.0
        self.guard = build_guard(timing)
        self.stopping = False
        self.drained = defer.Deferred()
        self.woken = None
        self.claim_after = 0.0
        self.finished = 0
        self.lease = LeaseKeeper(
            store=runtime.store,
            ttl=timing.lease,
            margin=timing.lease_margin,
            on_lost=self.abandon,
        )
        self.queue = QueueWatcher(
            runtime=runtime,
            is_held=self.is_held,
            is_wanted=self.is_wanted,
            read_lease=lambda: self.lease.lease,
            on_stopped=self.stop_job,
            on_change=self.wake,
        )

    def is_held(self, job, chunk):
        """Tell whether a chunk is held or being claimed here."""
        return (job, chunk) in self.chunks or (job, chunk) in self.claiming

    def is_wanted(self, known):
        """Tell whether the state of a job must be fresh here."""
        job = known.entry.job
        return any(name[0] == job for name in self.chunks) or (
            not self.chunks and bool(self.slots)
        )

    def spawn(self, work):
        """Run a coroutine; its failure is logged."""
        defer.ensureDeferred(work).addErrback(log_failure)

    def wake(self):
        """Dispatch soon, once however often this is called."""
        if self.woken is None and not self.stopping:
            self.woken = self.runtime.reactor.callLater(0, self.dispatch)

    async def tick(self):
        """Bring everything up to date; called at each interval."""
        if self.runtime.draining and not self.stopping:
            self.spawn(self.drain())
        if self.stopping or self.runtime.configurations.current is None:
            return
        # After a pause the chunks are given up before anything else goes on.
        self.lease.check()
        now = time.monotonic()
        refresh_slots(self, now=now)
        for slots in list(self.slots.values()):
            put_back_long_paused(self, slots, now=now)
            slots.preempt(now=now)
        cancel_overdue(self, now=now)
        self.update_rate()
        self.dispatch()
        await claim_wanted(self, now=now)

    def update_rate(self):
        """Smooth the rate of finished items."""
        finished = self.counters.completed + self.counters.failed
        rate = (finished - self.finished) / TICK_SECONDS
        self.finished = finished
        self.rate += RATE_WEIGHT * (rate - self.rate)

    async def drain(self):
        """Stop at a planned stop; see `drain_runner`."""
        if self.stopping:
            await self.drained
            return
        self.stopping = True
        await drain_runner(self)
        self.drained.callback(None)

    def dispatch(self):
        """Start as many items as the gates allow."""
        if self.woken is not None and self.woken.active():
            self.woken.cancel()
        self.woken = None
        if self.stopping or not self.lease.check():
            return
        now = time.monotonic()
        for slots in self.slots.values():
            for _ in range(max(0, slots.count_free(now=now))):
                if not self.start_next(slots, now=now):
                    break
        for chunk in list(self.chunks.values()):
            maintain_chunk(self, chunk, now=now)

    def start_next(self, slots, *, now):
        """Start the next item for an upstream; tell whether there was one."""
        paused = slots.take_paused()
        if paused is not None:
            self.counters.resumed += 1
            self.start(slots, *paused, now=now)
            return True
        for chunk in self.list_by_due():
            item = chunk.take(slots.upstream.service)
            if item is not None:
                self.start(slots, chunk, item, now=now)
                return True
        return False

    def list_by_due(self):
        return sorted(
            (c for c in self.chunks.values() if not c.stopped),
            key=lambda chunk: chunk.record.due,
        )

    def start(self, slots, chunk, item, *, now):
        """Run one item."""
        run = Run(chunk=chunk, item=item, upstream=slots.upstream, began=now)
        slots.running.add(run)
        chunk.running.add(run)
        chunk.active = now
        self.runtime.upstreams.change_batch_in_flight(slots.upstream, 1)
        run.work = defer.ensureDeferred(execute(self, run))
        run.work.addErrback(log_failure)
        run.work.addBoth(lambda _: self.end(run))

    def end(self, run):
        """Free what a run had."""
        now = time.monotonic()
        self.runtime.upstreams.change_batch_in_flight(run.upstream, -1)
        run.upstream.streams.discard(run.number)
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.running.discard(run)
        run.chunk.running.discard(run)
        run.chunk.active = now
        run.item.seconds += now - run.began
        self.wake()

    def finish(self, run, record):
        """Take in the result of an item."""
        if record.kind is RecordKind.COMPLETED:
            self.counters.completed += 1
        else:
            self.counters.failed += 1
        run.item.events = []
        run.chunk.buffer_record(record)

    def pause(self, run):
        """Keep a preempted item for a resume at the same upstream."""
        self.counters.preempted += 1
        slots = self.slots.get(run.upstream.name)
        if slots is None:
            self.counters.redone_tokens += run.item.reset()
            run.chunk.put_back(run.item)
            return
        slots.paused.append((run.chunk, run.item, time.monotonic()))

    def put_back(self, run):
        """Let an item run again that did not run."""
        run.chunk.put_back(run.item)

    def put_back_failed(self, run, *, alone):
        """Let an item run again after a pause, its attempt being noted."""
        queue = run.chunk.suspects if alone else run.chunk.waiting
        pause = compute_backoff(
            run.item.attempts,
            seed=f"{run.chunk.record.job}/{run.item.number}",
            base=RETRY_SECONDS,
        )
        self.runtime.reactor.callLater(pause, queue.append, run.item)

    def note_failure(self, run):
        """Note that an upstream has failed an item."""
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.breaker.note_failure(now=time.monotonic())

    def note_success(self, run):
        """Note that an upstream does its work."""
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.breaker.note_success()

    def read_limit(self, name, chunk):
        """Return a value of the configuration for a chunk's items."""
        return self.runtime.configurations.current.get(
            name,
            scope=Scope(
                workspace=chunk.record.workspace,
                data_centre=self.runtime.settings.data_centre,
            ),
            now=time.time(),
        )

    def take_load(self, upstream):
        """Yield at once when online work arrives at an owned upstream."""
        slots = self.slots.get(upstream.name)
        if slots is None or slots.gate is None:
            return
        now = time.monotonic()
        slots.observe(now=now)
        if not slots.preempt(now=now) and slots.count_free(now=now) > 0:
            self.wake()

    def stop_job(self, job):
        """Run nothing more of a job that is cancelled or has ended."""
        for name, chunk in list(self.chunks.items()):
            if name[0] == job and not (chunk.stopped or chunk.closing):
                self.spawn(self.stop_chunk(chunk))

    async def stop_chunk(self, chunk):
        """Release a chunk and bring its job to its end, if it is cancelled."""
        await release_chunk(self, chunk)
        await self.queue.end_if_cancelled(chunk.record.job)

    def abandon(self):
        """Start nothing more under a lease that cannot be trusted."""
        for chunk in list(self.chunks.values()):
            if not chunk.stopped:
                self.spawn(release_chunk(self, chunk))
