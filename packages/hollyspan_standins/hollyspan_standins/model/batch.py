"""Items of a simulated gateway."""

from hollyspan_gateway.jobs.worker import INITIAL_EVENTS_PER_ITEM
from hollyspan_gateway.jobs.worker import INITIAL_SECONDS_PER_EVENT
from hollyspan_gateway.jobs.worker import MIN_RUN_S
from hollyspan_gateway.jobs.worker import RETRY_DELAY_S
from hollyspan_gateway.jobs.worker import SCHEDULING_INTERVAL_S
from hollyspan_gateway.jobs.worker import URGENT_SLACK_S
from hollyspan_policy.batch import rank_item
from hollyspan_policy.batch import RunTimeEstimator

from .call import EngineCall

__all__ = ["BatchRunner"]

# Tokens from one event to the next.
STRIDE = 10


class BatchRunner:
    """Runs the items that belong to one gateway.

    Parameters
    ----------
    gateway : GatewayModel

    Attributes
    ----------
    waiting : list of ItemState
    running : dict
        Run by the key of its item.
    preemptions : int
    short_runs : int
        Preemptions so early that the run was of little use.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.clock = gateway.clock
        self.waiting = []
        self.running = {}
        self.times = RunTimeEstimator(
            events=INITIAL_EVENTS_PER_ITEM,
            event_seconds=INITIAL_SECONDS_PER_EVENT,
        )
        self.preemptions = 0
        self.short_runs = 0

    def start(self):
        """Look for free slots again and again."""
        self.start_items()
        self.clock.call_later(SCHEDULING_INTERVAL_S, self.start)

    def add(self, items):
        """Take over items of a new job."""
        self.waiting.extend(items)
        self.start_items()

    def rank(self, item):
        return rank_item(
            due=item.due,
            remaining_seconds=self.times.estimate_remaining_seconds(
                item.done // STRIDE
            ),
            now=self.clock.now,
        )

    def start_items(self):
        """Start what fits into the free slots, the most urgent first."""
        now = self.clock.now
        ready = [item for item in self.waiting if item.not_before <= now]
        for item in sorted(ready, key=self.rank):
            upstream = self.gateway.policy.choose_batch(
                self.gateway, item.key, item.due - now < URGENT_SLACK_S
            )
            if upstream is not None:
                self.waiting.remove(item)
                self.running[item.key] = Run(
                    runner=self, item=item, upstream=upstream
                )

    def preempt_items(self, upstream):
        """Stop items where online requests need their slots."""
        if not upstream.batch or not self.gateway.policy.gives_way:
            return
        excess = self.gateway.batch_placement.count_excess(upstream)
        if excess <= 0:
            return
        here = [
            run for run in self.running.values() if run.upstream is upstream
        ]
        here.sort(key=lambda run: self.rank(run.item))
        for run in here[-excess:]:
            if not run.call.is_over:
                self.preemptions += 1
                run.preempt()

    def take_end(self, run, reason):
        """Take note of the end of a run."""
        item = run.item
        del self.running[item.key]
        seconds = self.clock.now - run.started
        if reason == "finished":
            item.finished_at = self.clock.now
            self.times.observe(
                events=item.tokens // STRIDE,
                seconds=seconds,
                run_events=(item.tokens - run.first_token) // STRIDE,
            )
        else:
            is_short = seconds < MIN_RUN_S
            self.short_runs += reason == "preempted" and is_short
            if reason != "preempted" or is_short:
                item.not_before = self.clock.now + RETRY_DELAY_S
            self.waiting.append(item)
        self.clock.call_later(0.0, self.start_items)


class Run:
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
        self.first_token = item.done
        item.runs += 1
        self.call = EngineCall(
            gateway=runner.gateway,
            upstream=upstream,
            track=runner.gateway.batch_placement.track(upstream),
            parts=item.parts,
            tokens=item.tokens,
            done=item.done,
            on_event=self.take_event,
            on_end=self.end,
        )

    def take_event(self, generated, load):
        if self.item.done == self.first_token:
            self.runner.gateway.record_report(self.upstream, load)
        self.item.done = generated

    def preempt(self):
        """Stop the run; what has come is kept."""
        self.call.cancel()
        self.end("preempted")

    def end(self, reason):
        generated = self.call.stream.generated - self.first_token
        self.item.generated += max(0, generated)
        self.runner.take_end(self, reason)
