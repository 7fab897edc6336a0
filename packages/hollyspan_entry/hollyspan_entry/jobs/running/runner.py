"""Running of jobs on the upstreams that this daemon owns."""

import time

from twisted.internet import defer

from hollyspan_core.configuration import Scope
from hollyspan_policy.retries import compute_backoff

from ..results import RecordKind
from .claiming import claim_chunks
from .counters import JobCounters
from .draining import drain_runner
from .execution import execute
from .lease import LeaseKeeper
from .maintenance import maintain_chunk
from .maintenance import release_chunk
from .overdue import cancel_overdue
from .overdue import expire_paused
from .ownership import build_guard
from .ownership import refresh_slots
from .run import Run
from .watcher import log_failure
from .watcher import QueueWatcher

__all__ = ["JobRunner", "TICK_INTERVAL_S"]

# Twice the shortest pause before an item's second attempt.
RETRY_BASE_DELAY_S = 1.0
TICK_INTERVAL_S = 0.1
RATE_SMOOTHING = 0.02


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
        self.pending_dispatch = None
        self.claim_retry_at = 0.0
        self.finished_items = 0
        self.lease = LeaseKeeper(
            store=runtime.store,
            ttl=timing.lease,
            margin=timing.lease_margin,
            on_lost=self.release_all,
        )
        self.queue = QueueWatcher(
            runtime=runtime,
            is_held=self.is_held,
            needs_fresh_state=self.needs_fresh_state,
            get_lease_id=lambda: self.lease.lease_id,
            on_stopped=self.stop_job,
            on_change=self.schedule_dispatch,
        )

    def is_held(self, job, chunk):
        """Tell whether a chunk is held or being claimed here."""
        return (job, chunk) in self.chunks or (job, chunk) in self.claiming

    def needs_fresh_state(self, known):
        """Tell whether the state of a job must be fresh here."""
        job = known.entry.job
        return any(name[0] == job for name in self.chunks) or (
            not self.chunks and bool(self.slots)
        )

    def spawn(self, coroutine):
        """Run a coroutine; its failure is logged."""
        defer.ensureDeferred(coroutine).addErrback(log_failure)

    def schedule_dispatch(self):
        """Dispatch soon, once however often this is called."""
        if self.pending_dispatch is None and not self.stopping:
            self.pending_dispatch = self.runtime.reactor.callLater(
                0, self.dispatch
            )

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
            expire_paused(self, slots, now=now)
            slots.preempt(now=now)
        cancel_overdue(self, now=now)
        self.update_rate()
        self.dispatch()
        await claim_chunks(self, now=now)

    def update_rate(self):
        """Smooth the rate of finished items."""
        finished = self.counters.completed + self.counters.failed
        rate = (finished - self.finished_items) / TICK_INTERVAL_S
        self.finished_items = finished
        self.rate += RATE_SMOOTHING * (rate - self.rate)

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
        if (
            self.pending_dispatch is not None
            and self.pending_dispatch.active()
        ):
            self.pending_dispatch.cancel()
        self.pending_dispatch = None
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
        paused = slots.pop_paused()
        if paused is not None:
            self.counters.resumed += 1
            self.start(slots, *paused, now=now)
            return True
        for chunk in self.list_by_due():
            item = chunk.pop_ready(slots.upstream.service)
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
        run = Run(
            chunk=chunk, item=item, upstream=slots.upstream, started_at=now
        )
        slots.running.add(run)
        chunk.running.add(run)
        chunk.last_active_at = now
        self.runtime.upstreams.change_batch_in_flight(slots.upstream, 1)
        run.deferred = defer.ensureDeferred(execute(self, run))
        run.deferred.addErrback(log_failure)
        run.deferred.addBoth(lambda _: self.handle_run_end(run))

    def handle_run_end(self, run):
        """Free what a run had."""
        now = time.monotonic()
        self.runtime.upstreams.change_batch_in_flight(run.upstream, -1)
        run.upstream.streams.discard(run.stream_number)
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.running.discard(run)
        run.chunk.running.discard(run)
        run.chunk.last_active_at = now
        run.item.run_seconds += now - run.started_at
        self.schedule_dispatch()

    def record_result(self, run, record):
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
            run.chunk.requeue(run.item)
            return
        slots.paused.append((run.chunk, run.item, time.monotonic()))

    def requeue(self, run):
        """Let an item run again that did not run."""
        run.chunk.requeue(run.item)

    def requeue_failed(self, run, *, alone):
        """Let an item run again after a pause, its attempt being noted."""
        queue = run.chunk.suspects if alone else run.chunk.waiting
        pause = compute_backoff(
            run.item.attempts,
            seed=f"{run.chunk.record.job}/{run.item.number}",
            base=RETRY_BASE_DELAY_S,
        )
        self.runtime.reactor.callLater(pause, queue.append, run.item)

    def record_failure(self, run):
        """Note that an upstream has failed an item."""
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.breaker.record_failure(now=time.monotonic())

    def record_success(self, run):
        """Note that an upstream does its work."""
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.breaker.record_success()

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

    def handle_load_update(self, upstream):
        """Yield at once when online work arrives at an owned upstream."""
        slots = self.slots.get(upstream.name)
        if slots is None or slots.gate is None:
            return
        now = time.monotonic()
        slots.observe(now=now)
        if not slots.preempt(now=now) and slots.count_free(now=now) > 0:
            self.schedule_dispatch()

    def stop_job(self, job):
        """Run nothing more of a job that is cancelled or has ended."""
        for name, chunk in list(self.chunks.items()):
            if name[0] == job and not (chunk.stopped or chunk.closing):
                self.spawn(self.stop_chunk(chunk))

    async def stop_chunk(self, chunk):
        """Release a chunk and bring its job to its end, if it is cancelled."""
        await release_chunk(self, chunk)
        await self.queue.finish_if_cancelled(chunk.record.job)

    def release_all(self):
        """Start nothing more under a lease that cannot be trusted."""
        for chunk in list(self.chunks.values()):
            if not chunk.stopped:
                self.spawn(release_chunk(self, chunk))
