"""Runs the items of all jobs on what online work leaves free."""

import eliot
from twisted.internet import defer

from hollyspan_policy.batch import rank_item
from hollyspan_policy.batch import RunTimeEstimator
from hollyspan_policy.ownership import choose_owner

from ..routes import choose_service
from ..routes import RouteKind
from .catalogue import JobCatalogue
from .item import ItemResult
from .keeping import keep_result
from .ranks import OwnerRanks
from .removal import Removal
from .run import ItemRun

__all__ = ["Worker"]

# Seconds by which machines' clocks may differ: an item is given up that much
# after its time.
CLOCK_MARGIN_S = 5.0
# Seconds between two rounds when nothing has changed: picks up items whose
# pause is over and slots whose release no message told of.
ROUND_S = 0.1
# Pause of an item after a run that failed, seconds.
RETRY_S = 0.15
# A run that is preempted sooner than this, seconds, has found a slot that the
# next online request takes; the item pauses as after a failure.
SHORT_RUN_S = 0.2
# Expected events of an item and seconds for each, until items have finished.
INITIAL_EVENTS = 180
INITIAL_EVENT_S = 0.027
# Seconds before a job's due time from which its items use the last free slot:
# a whole run takes some 5 s.
URGENT_S = 7.0
# Runs that fail before an item is given up, where its route is gone.
DEFAULT_ATTEMPTS = 3


class Worker:
    """Runs the items that belong to this daemon.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    catalogue : JobCatalogue
    running : dict
        ItemWork by its key.
    is_stopping : bool
        True when no new item is started.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.running = {}
        self.is_stopping = False
        self.on_empty = None
        self.times = RunTimeEstimator(
            events=INITIAL_EVENTS, event_seconds=INITIAL_EVENT_S
        )
        self.round_call = None
        self.ranks = OwnerRanks(gateway=gateway)
        self.catalogue = JobCatalogue(
            gateway=gateway,
            on_change=lambda: self.schedule(0.0),
            on_end=self.stop_job,
        )
        self.removal = Removal(gateway=gateway, catalogue=self.catalogue)

    def start(self):
        """Begin to follow the jobs and to run items."""
        self.catalogue.start()
        self.schedule(0.0)
        self.removal.start()

    def stop(self):
        """Stop all runs."""
        self.is_stopping = True
        self.catalogue.stop()
        self.removal.stop()
        if self.round_call is not None:
            self.round_call.cancel()
            self.round_call = None
        for work in list(self.running.values()):
            work.run.cancel()

    def schedule(self, seconds):
        """Have the next round after some seconds at the latest."""
        if self.is_stopping and not self.running:
            return
        call = self.round_call
        if call is not None:
            if call.getTime() <= self.gateway.reactor.seconds() + seconds:
                return
            call.cancel()
        self.round_call = self.gateway.reactor.callLater(
            seconds, self.start_items
        )

    def stop_job(self, job):
        """Stop the items of a job that its client has ended."""
        for work in job.items.values():
            if work.run is not None:
                work.run.cancel()

    def retire(self, *, on_empty):
        """Start nothing more and tell when nothing runs any longer.

        Parameters
        ----------
        on_empty : callable
            Called once without arguments.
        """
        self.is_stopping = True
        self.on_empty = on_empty
        self.tell_empty()

    def tell_empty(self):
        if self.on_empty is not None and not self.running:
            on_empty, self.on_empty = self.on_empty, None
            on_empty()

    def recheck(self):
        """Read results again, since items may have changed hands."""
        self.catalogue.recheck()

    def start_items(self):
        """Start what fits into the free slots, the most urgent first."""
        self.round_call = None
        self.schedule(ROUND_S)
        if self.is_stopping or self.gateway.routes is None:
            return
        if not self.gateway.upstreams_mirror.is_connected:
            # Results could not be stored; peers that can take over.
            return
        owners = self.gateway.list_workers()
        self.ranks.take_owners(owners)
        claimed = self.gateway.list_claimed_items()
        waiting = []
        for job in self.catalogue.list_open():
            mine = [
                work
                for work in job.items.values()
                if self.is_startable(work, owners, claimed)
            ]
            if mine and not job.is_checked:
                self.catalogue.begin_check(job)
            elif mine:
                waiting += mine
        now = self.gateway.wall_clock()
        for work in sorted(waiting, key=lambda work: self.rank(work, now)):
            self.start_item(work)

    def rank(self, work, now):
        """Return the sort key of an item; the smallest is run first."""
        return rank_item(
            due=work.job.job.due,
            remaining_seconds=self.times.estimate_remaining_seconds(
                len(work.texts)
            ),
            now=now,
        )

    def is_startable(self, work, owners, claimed):
        return (
            not work.is_listed
            and work.run is None
            and work.result is None
            and work.not_before <= self.gateway.reactor.seconds()
            and work.key not in claimed
            and choose_owner(f"{work.key:x}", owners)
            == self.gateway.peers.identifier
        )

    def start_item(self, work):
        """Start one item, unless there is no room for it."""
        job = work.job.job
        route = self.gateway.routes.find(job.host, work.item.path)
        now = self.gateway.wall_clock()
        if route is None or route.kind is not RouteKind.BATCH:
            self.give_up(work, "the route is gone")
            return
        if now >= job.retained_until + CLOCK_MARGIN_S:
            self.give_up(work, "the job's time is over")
            return
        service = choose_service(route, work.item.identifier)
        upstream = self.gateway.batch_placement.choose(
            service,
            key=work.item.identifier,
            is_urgent=job.due - now < URGENT_S,
            find_rank=self.ranks.find,
        )
        if upstream is None:
            return
        work.run = ItemRun(
            gateway=self.gateway,
            work=work,
            upstream=upstream,
            host=job.host,
            max_failures=route.max_attempts or DEFAULT_ATTEMPTS,
        )
        self.running[work.key] = work
        eliot.log_message(
            "item:started",
            job=job.identifier,
            item=work.item.identifier,
            upstream=upstream.entry.name,
            online=upstream.count_online(),
            batch=upstream.count_batch(),
            slots=upstream.entry.slots,
            last_event=work.last_event,
            slack=job.due - now,
        )
        work.run.start().addBoth(self.finish_run, work)

    def give_up(self, work, reason):
        eliot.log_message(
            "item:given_up",
            job=work.job.job.identifier,
            item=work.item.identifier,
            reason=reason,
        )
        work.result = ItemResult(
            identifier=work.item.identifier, is_done=False, output=b""
        )
        self.store_result(work)

    def finish_run(self, failure, work):
        """Take note of the end of a run."""
        if failure is not None and not failure.check(defer.CancelledError):
            eliot.write_failure(failure)
        run, work.run = work.run, None
        self.running.pop(work.key, None)
        if work.result is not None:
            self.learn(run, work)
            self.store_result(work)
        elif not run.is_preempted or self.is_short(run):
            work.not_before = self.gateway.reactor.seconds() + RETRY_S
        self.tell_empty()
        self.schedule(0.0)

    def is_short(self, run):
        return self.gateway.reactor.seconds() - run.started < SHORT_RUN_S

    def learn(self, run, work):
        """Learn how long items take from one that has finished."""
        seconds = self.gateway.reactor.seconds() - run.started
        self.gateway.metrics.record("run", seconds)
        if work.result.is_done:
            self.times.observe(
                events=len(work.texts),
                seconds=seconds,
                run_events=len(work.texts) - run.first_event,
            )

    def store_result(self, work):
        if not work.job.is_ended or work.result.is_done:
            defer.ensureDeferred(keep_result(self.gateway, work)).addErrback(
                eliot.write_failure
            )

    def make_room(self, upstream):
        """Stop items where online requests need their slots."""
        if not upstream.batch:
            return
        excess = self.gateway.batch_placement.count_excess(upstream)
        if excess <= 0:
            return
        now = self.gateway.wall_clock()
        here = sorted(
            (
                work
                for work in self.running.values()
                if work.run.upstream is upstream
            ),
            key=lambda work: self.rank(work, now),
        )
        for work in here[-excess:]:
            if work.run is None:
                # Stopped by the change of load that the last one caused.
                continue
            eliot.log_message(
                "item:preempted",
                job=work.job.job.identifier,
                item=work.item.identifier,
                upstream=upstream.entry.name,
                online=upstream.count_online(),
                batch=upstream.count_batch(),
                slots=upstream.entry.slots,
            )
            self.gateway.metrics.count_item("preempted")
            work.run.cancel()
