"""Batch items of a simulated gateway."""

from hollyspan_gateway.jobs.item_placement import RETRY_DELAY_S
from hollyspan_gateway.jobs.worker import INITIAL_EVENTS_PER_ITEM
from hollyspan_gateway.jobs.worker import INITIAL_SECONDS_PER_EVENT
from hollyspan_gateway.jobs.worker import MIN_RUN_S
from hollyspan_gateway.jobs.worker import SCHEDULING_INTERVAL_S
from hollyspan_gateway.jobs.worker import URGENT_SLACK_S
from hollyspan_gateway.upstreams import Shortages
from hollyspan_policy.batch import rank_item
from hollyspan_policy.batch import RunTimeEstimator

from .call import EngineCall
from .pattern import TOKENS_PER_EVENT

__all__ = ["BatchRunner"]


class BatchRunner:
    """Scheduler of the items that one gateway owns.

    Parameters
    ----------
    gateway : GatewayModel

    Attributes
    ----------
    waiting : list of ItemState
    running : dict
        ItemRun by the key of its item.
    preemptions : int
    short_runs : int
        Preemptions of runs shorter than MIN_RUN_S.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.clock = gateway.clock
        self.waiting = []
        self.running = {}
        self.run_times = RunTimeEstimator(
            events=INITIAL_EVENTS_PER_ITEM,
            event_seconds=INITIAL_SECONDS_PER_EVENT,
        )
        self.shortages = Shortages(
            reactor=gateway.clock,
            speeds=gateway.placement.speeds,
            on_end=self.preempt_items,
        )
        self.preemptions = 0
        self.short_runs = 0

    def start(self):
        """Start items now and at every scheduling interval."""
        self.start_items()
        self.clock.call_later(SCHEDULING_INTERVAL_S, self.start)

    def add(self, items):
        """Add the items of a new job that this gateway owns."""
        self.waiting.extend(items)
        self.start_items()

    def rank(self, item):
        return rank_item(
            due=item.due,
            remaining_seconds=self.run_times.estimate_remaining_seconds(
                item.received_tokens // TOKENS_PER_EVENT
            ),
            now=self.clock.now,
        )

    def start_items(self):
        """Start waiting items in free slots, the most urgent first."""
        now = self.clock.now
        ready = [item for item in self.waiting if item.not_before <= now]
        for item in sorted(ready, key=self.rank):
            upstream = self.gateway.policy.choose_batch(
                self.gateway, item.key, item.due - now < URGENT_SLACK_S
            )
            if upstream is not None:
                self.waiting.remove(item)
                self.running[item.key] = ItemRun(
                    runner=self, item=item, upstream=upstream
                )

    def preempt_items(self, upstream):
        """Preempt items at an upstream whose slots online requests need."""
        if not upstream.batch or not self.gateway.policy.preempts_batch:
            return
        excess = self.gateway.batch_placement.count_excess(upstream)
        if not self.shortages.must_preempt(upstream, excess):
            return
        upstream_runs = [
            run for run in self.running.values() if run.upstream is upstream
        ]
        upstream_runs.sort(key=lambda run: self.rank(run.item))
        for run in upstream_runs[-excess:]:
            if not run.call.is_over:
                self.preemptions += 1
                run.preempt()

    def handle_end(self, run, reason):
        """Record the end of a run; queue the item again if unfinished."""
        item = run.item
        del self.running[item.key]
        seconds = self.clock.now - run.started
        if reason == "finished":
            item.finished_at = self.clock.now
            self.run_times.observe(
                events=item.tokens // TOKENS_PER_EVENT,
                seconds=seconds,
                run_events=(item.tokens - run.first_token) // TOKENS_PER_EVENT,
            )
            if self.gateway.policy.uses_speeds:
                self.gateway.placement.speeds.note_run(
                    run.upstream,
                    kind="batch",
                    seconds=seconds,
                    events=(item.tokens - run.first_token) // TOKENS_PER_EVENT,
                )
        else:
            is_short = seconds < MIN_RUN_S
            self.short_runs += reason == "preempted" and is_short
            if reason != "preempted" or is_short:
                item.not_before = self.clock.now + RETRY_DELAY_S
            self.waiting.append(item)
        self.clock.call_later(0.0, self.start_items)


class ItemRun:
    """One run of an item.

    Parameters
    ----------
    runner : BatchRunner
    item : ItemState
    upstream : Upstream
    """

    __slots__ = (
        "runner",
        "item",
        "upstream",
        "started",
        "first_token",
        "call",
    )

    def __init__(self, *, runner, item, upstream):
        self.runner = runner
        self.item = item
        self.upstream = upstream
        self.started = runner.clock.now
        self.first_token = item.received_tokens
        item.runs += 1
        self.call = EngineCall(
            gateway=runner.gateway,
            upstream=upstream,
            track=runner.gateway.batch_placement.track(upstream),
            parts=item.parts,
            tokens=item.tokens,
            resumed_tokens=item.received_tokens,
            on_event=self.handle_event,
            on_end=self.end,
        )

    def handle_event(self, generated, load):
        if self.item.received_tokens == self.first_token:
            self.runner.gateway.record_report(self.upstream, load)
        self.item.received_tokens = generated

    def preempt(self):
        """Stop the run; the item keeps the tokens received."""
        self.call.cancel()
        self.end("preempted")

    def end(self, reason):
        generated = self.call.stream.generated - self.first_token
        self.item.generated += max(0, generated)
        self.runner.handle_end(self, reason)
