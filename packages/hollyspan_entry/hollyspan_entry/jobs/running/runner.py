"""Runner of jobs on the upstreams owned by this daemon."""

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

# Twice the minimum delay before an item's second attempt.
RETRY_BASE_DELAY_S = 1.0
TICK_INTERVAL_S = 0.1
RATE_SMOOTHING = 0.02


class JobRunner:
    """Claims chunks and runs their items.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    chunks : dict
        HeldChunk by pair of job and chunk index.
    claiming : set of (str, int)
        Chunks whose claim is in progress.
    slots : dict
        UpstreamSlots by name of the upstream.
    rate : float
        Items finished per second, exponentially smoothed.
    guard : PauseGuard
        Prevents the daemon from owning upstreams right after a process
        pause.
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
        """Return True if this daemon holds or is claiming a chunk."""
        return (job, chunk) in self.chunks or (job, chunk) in self.claiming

    def needs_fresh_state(self, known):
        """Return True if the state of a job must be read at each poll."""
        job = known.entry.job
        return any(name[0] == job for name in self.chunks) or (
            not self.chunks and bool(self.slots)
        )

    def spawn(self, coroutine):
        """Run a coroutine in the background and log its failure."""
        defer.ensureDeferred(coroutine).addErrback(log_failure)

    def schedule_dispatch(self):
        """Schedule a dispatch in the next reactor turn unless one is due."""
        if self.pending_dispatch is None and not self.stopping:
            self.pending_dispatch = self.runtime.reactor.callLater(
                0, self.dispatch
            )

    async def tick(self):
        """Update slots, time limits and claims; called once per tick."""
        if self.runtime.draining and not self.stopping:
            self.spawn(self.drain())
        if self.stopping or self.runtime.configurations.current is None:
            return
        # After a process pause the chunks are released before anything else.
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
        """Update the smoothed rate of finished items."""
        finished = self.counters.completed + self.counters.failed
        rate = (finished - self.finished_items) / TICK_INTERVAL_S
        self.finished_items = finished
        self.rate += RATE_SMOOTHING * (rate - self.rate)

    async def drain(self):
        """Shut down as planned; see `drain_runner`."""
        if self.stopping:
            await self.drained
            return
        self.stopping = True
        await drain_runner(self)
        self.drained.callback(None)

    def dispatch(self):
        """Start as many items as the batch gates allow."""
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
        """Start the next item for an upstream; return False without one."""
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
        """Start the run of an item."""
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
        """Release the slot of a run that has ended."""
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
        """Count and buffer the result of an item."""
        if record.kind is RecordKind.COMPLETED:
            self.counters.completed += 1
        else:
            self.counters.failed += 1
        run.item.events = []
        run.chunk.buffer_record(record)

    def pause(self, run):
        """Keep a preempted item so that it can resume at the same upstream."""
        self.counters.preempted += 1
        slots = self.slots.get(run.upstream.name)
        if slots is None:
            self.counters.redone_tokens += run.item.discard_attempt()
            run.chunk.requeue(run.item)
            return
        slots.paused.append((run.chunk, run.item, time.monotonic()))

    def requeue(self, run):
        """Requeue an item that was not run."""
        run.chunk.requeue(run.item)

    def requeue_failed(self, run, *, alone):
        """Requeue a failed item after a back-off.

        With `alone` True the item is queued as a suspect.
        """
        queue = run.chunk.suspects if alone else run.chunk.waiting
        pause = compute_backoff(
            run.item.attempts,
            seed=f"{run.chunk.record.job}/{run.item.number}",
            base=RETRY_BASE_DELAY_S,
        )
        self.runtime.reactor.callLater(pause, queue.append, run.item)

    def record_failure(self, run):
        """Record that an upstream failed an item."""
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.breaker.record_failure(now=time.monotonic())

    def record_success(self, run):
        """Record that an upstream answered an item."""
        slots = self.slots.get(run.upstream.name)
        if slots is not None:
            slots.breaker.record_success()

    def read_limit(self, name, chunk):
        """Return a configured value for the items of a chunk."""
        return self.runtime.configurations.current.get(
            name,
            scope=Scope(
                workspace=chunk.record.workspace,
                data_centre=self.runtime.settings.data_centre,
            ),
            now=time.time(),
        )

    def handle_load_update(self, upstream):
        """Handle a change of the online load of an upstream.

        Streams are preempted at once when online requests arrive at an owned
        upstream.
        """
        slots = self.slots.get(upstream.name)
        if slots is None or slots.gate is None:
            return
        now = time.monotonic()
        slots.observe(now=now)
        if not slots.preempt(now=now) and slots.count_free(now=now) > 0:
            self.schedule_dispatch()

    def stop_job(self, job):
        """Stop all chunks of a job that is cancelled or has ended."""
        for name, chunk in list(self.chunks.items()):
            if name[0] == job and not (chunk.stopped or chunk.closing):
                self.spawn(self.stop_chunk(chunk))

    async def stop_chunk(self, chunk):
        """Release a chunk and finish its job if it is cancelled."""
        await release_chunk(self, chunk)
        await self.queue.finish_if_cancelled(chunk.record.job)

    def release_all(self):
        """Release all chunks because the lease is lost."""
        for chunk in list(self.chunks.values()):
            if not chunk.stopped:
                self.spawn(release_chunk(self, chunk))
