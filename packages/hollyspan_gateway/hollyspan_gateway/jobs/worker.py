"""Execution of the items of all jobs on slots that online load leaves free."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.batch import has_route_ended
from hollyspan_policy.batch import rank_item
from hollyspan_policy.batch import RunTimeEstimator
from hollyspan_policy.ownership import choose_owner

from ..proof_of_life import JOBS_PROOF_INTERVAL_S
from ..routes import choose_service
from ..routes import RouteKind
from ..upstreams import Shortages
from .body_fetches import BodyFetches
from .catalogue import JobCatalogue
from .claims import ClaimBook
from .item import ItemResult
from .item_placement import choose_retry_delay
from .item_placement import ItemPlacement
from .job_remover import JobRemover
from .open_items import OpenItemLog
from .ranks import WorkerRanks
from .releases import ReleaseWriter
from .result_storage import persist_result
from .run import ItemRun
from .silences import Silences
from .succession import Succession

__all__ = ["Worker"]

# Clocks of machines may differ by this much, so an item is given up only this
# long after its retention time.
MAX_CLOCK_SKEW_S = 5.0
# Interval between two scheduling rounds when nothing has changed. A round
# finds items whose retry delay is over and slots whose release no message
# announced.
SCHEDULING_INTERVAL_S = 0.1
# A run that is preempted sooner than this has used a slot that the next online
# request needs; the item is delayed as after a failed run.
MIN_RUN_S = 0.2
# Expected events per item and seconds per event, until items have finished.
INITIAL_EVENTS_PER_ITEM = 180
INITIAL_SECONDS_PER_EVENT = 0.027
# Items may use the headroom of online requests when less than this is left
# until the job's due time: a whole run takes about 5 s.
URGENT_SLACK_S = 7.0
# Longest time that an item waits for its turn at a free slot.
TURN_WAIT_S = 1.0
# Delay of an item whose start has failed here.
START_FAILURE_DELAY_S = 1.0
# Number of failed runs after which an item is given up, for a route that
# states none.
DEFAULT_MAX_ATTEMPTS = 3


class Worker:
    """Runs the items that this gateway owns.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    catalogue : JobCatalogue
    running : dict
        ItemState by its key.
    storing : int
        Number of results that are being stored.
    is_stopping : bool
        True when no new items are started.
    """

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.running = {}
        self.storing = 0
        self.releases = ReleaseWriter(gateway=gateway)
        self.is_stopping = False
        self.on_drained = None
        self.times = RunTimeEstimator(
            events=INITIAL_EVENTS_PER_ITEM,
            event_seconds=INITIAL_SECONDS_PER_EVENT,
        )
        self.shortages = Shortages(
            reactor=gateway.reactor,
            speeds=gateway.placement.speeds,
            on_end=self.preempt_items,
        )
        self.schedule_call = None
        self.ranks = WorkerRanks(gateway=gateway)
        self.silences = Silences(gateway=gateway, times=self.times)
        self.placement = ItemPlacement(
            gateway=gateway,
            times=self.times,
            find_rank=self.ranks.find,
            silences=self.silences,
        )
        self.catalogue = JobCatalogue(
            gateway=gateway,
            on_change=lambda: self.schedule(0.0),
            on_end=self.stop_job,
        )
        self.remover = JobRemover(gateway=gateway, catalogue=self.catalogue)
        self.fetches = BodyFetches(worker=self)
        self.claims = ClaimBook(worker=self)
        self.succession = Succession(worker=self)
        self.open_items = OpenItemLog(worker=self)
        gateway.proof_of_life.follow(
            "jobs", self.catalogue.mirror, interval=JOBS_PROOF_INTERVAL_S
        )

    def start(self):
        """Start following the jobs and running items."""
        self.catalogue.start()
        self.schedule(0.0)
        self.remover.start()

    def stop(self):
        """Stop following the jobs and cancel all runs."""
        self.is_stopping = True
        self.catalogue.stop()
        self.remover.stop()
        self.shortages.stop()
        if self.schedule_call is not None:
            self.schedule_call.cancel()
            self.schedule_call = None
        for state in list(self.running.values()):
            # Cancelling a run may preempt others.
            if state.run is not None:
                state.run.cancel()

    def describe(self):
        """Return the fields of a full message that tell of items."""
        claims = self.claims.list_items()
        return {
            "items": list(claims),
            "progress": list(claims.values()),
            "tells_waiting": True,
            "finished": self.claims.list_finished(),
            "crowded_jobs": self.claims.list_crowded(),
            "jobs": self.catalogue.mirror.changed_revision,
            "job_room": self.catalogue.room.describe(),
        }

    def schedule(self, seconds):
        """Schedule the next round of starts within some seconds."""
        if self.is_stopping and not self.running:
            return
        call = self.schedule_call
        if call is not None:
            if call.getTime() <= self.gateway.reactor.seconds() + seconds:
                return
            call.cancel()
        self.schedule_call = self.gateway.reactor.callLater(
            seconds, self.start_items
        )

    def stop_job(self, job_state):
        """Cancel the runs of a job that its client has ended."""
        for state in job_state.items.values():
            if state.run is not None:
                state.run.cancel()

    def retire(self, *, on_drained):
        """Start no new items and report when no item runs any longer.

        Parameters
        ----------
        on_drained : callable
            Called once without arguments when no item runs.
        """
        self.is_stopping = True
        self.on_drained = on_drained
        self.notify_if_drained()

    def notify_if_drained(self):
        if self.on_drained is not None and not self.running:
            on_drained, self.on_drained = self.on_drained, None
            on_drained()

    def reread_results(self):
        """Read all results again, since items may have changed owners."""
        self.catalogue.reread_results()

    def start_items(self):
        """Start items on the free slots, the most urgent first."""
        self.schedule_call = None
        self.schedule(SCHEDULING_INTERVAL_S)
        self.open_items.log_if_due()
        self.catalogue.room.start_if_idle()
        if not self.gateway.can_run_items:
            return
        if not self.gateway.upstreams_mirror.is_connected:
            # Results could not be stored; peers that reach the store take
            # the items over.
            return
        if not self.gateway.proof_of_life.may_start_items():
            # Their jobs may have ended. The store is being asked.
            return
        # After a pause, peers may count as failed before their membership is
        # checked; their items have results that are not known here.
        workers = tuple(sorted(self.gateway.update_workers()))
        if self.gateway.peers.identifier not in workers:
            # Its links are lost; the others run its items.
            return
        self.ranks.update_workers(workers)
        self.succession.look_if_due(workers)
        claimed = self.gateway.list_claimed_items()
        self.release_ended_jobs(workers)
        waiting = []
        for job_state in self.catalogue.list_incomplete():
            startable = [
                state
                for state in job_state.items.values()
                if self.is_startable(state, workers, claimed)
            ]
            if startable and not job_state.has_read_results:
                self.catalogue.start_reading_results(job_state)
                # The results of these were looked up one by one.
                startable = [state for state in startable if state.is_taken]
            waiting += startable
        self.fetches.begin_round()
        self.placement.begin_round()
        now = self.gateway.wall_clock()
        if waiting:
            waiting += self.list_urgent_silent(now)
        for state in sorted(waiting, key=lambda state: self.rank(state, now)):
            self.try_start_item(state)

    def list_urgent_silent(self, now):
        """Return the urgent items whose runs are silent.

        They compete with those that wait; others that run stay in a silence
        while items wait, since a move costs a part of the place that it takes.
        """
        return [
            state
            for state in self.silences.list_movable()
            if is_urgent(state, now)
        ]

    def try_start_item(self, state):
        """Start one item; a failure concerns this item alone."""
        try:
            if state.run is None or self.leave_silence(state):
                self.start_item(state)
        except Exception:
            eliot.write_traceback()
            if state.run is not None and state.run.deferred is None:
                state.run = None
                self.running.pop(state.key, None)
            state.hindrance = "start_failed"
            state.not_before = (
                self.gateway.reactor.seconds() + START_FAILURE_DELAY_S
            )

    def leave_silence(self, state):
        """Break a silent run off if its item has a place elsewhere now."""
        route = self.find_batch_route(state)
        if route is None:
            return False
        service = choose_service(route, state.item.identifier)
        if not self.placement.has_place_elsewhere(state, service):
            return False
        run = state.run
        self.fetches.keep(state, run.item)
        run.move()
        return state.run is None and state.result is None

    def release_ended_jobs(self, workers):
        """Release the waiting tokens of the ended jobs that are owned here."""
        for job_state, end_revision in self.catalogue.list_unreleased():
            identifier = job_state.job.identifier
            if choose_owner(identifier, workers) == (
                self.gateway.peers.identifier
            ):
                job_state.is_released = True
                defer.ensureDeferred(
                    self.release_job(job_state, end_revision)
                ).addErrback(eliot.write_failure)

    async def release_job(self, job_state, end_revision):
        try:
            await self.releases.release_rest(
                job_state.job, end_revision=end_revision
            )
        except StoreUnavailableError as error:
            eliot.log_message(
                "job:not_released",
                job=job_state.job.identifier,
                reason=error.message,
            )
            job_state.is_released = False

    def rank(self, state, now):
        """Return the sort key of an item; the smallest is started first."""
        return rank_item(
            due=state.job_state.job.due,
            remaining_seconds=self.times.estimate_remaining_seconds(
                len(state.event_data)
            ),
            now=now,
        )

    def is_startable(self, state, workers, claimed):
        if (
            state.has_result
            or state.run is not None
            or state.result is not None
            or state.not_before > self.gateway.reactor.seconds()
        ):
            return False
        owner = self.find_owner(state, workers)
        if state.is_taken or owner != self.gateway.peers.identifier:
            return state.is_taken
        if state.key in claimed:
            state.must_look_up = True
            return False
        if state.must_look_up:
            # The peer that had named it may have stored its result.
            self.succession.look_up(state, is_succession=False)
            return False
        return True

    def find_owner(self, state, workers):
        """Return the identifier of the gateway that runs an item."""
        if state.owner_workers != workers:
            owner = choose_owner(f"{state.key:x}", workers)
            if owner != state.owner:
                state.owner = owner
                state.is_taken = False
                state.idle_since = self.gateway.reactor.seconds()
            state.owner_workers = workers
            state.rank = None
        return state.owner

    def start_item(self, state):
        """Start one item if a slot is free, or give it up."""
        job = state.job_state.job
        route = self.find_batch_route(state)
        now = self.gateway.wall_clock()
        if now >= job.retained_until + MAX_CLOCK_SKEW_S:
            self.give_up(state, "the job's retention time is over")
            return
        if route is None:
            state.hindrance = "no_route"
            self.handle_missing_route(state)
            return
        if not self.succession.keep_for_trial(state):
            return
        if not self.gateway.guard.block_list.may_send(
            state.shared_parts, request=state.item.identifier
        ):
            state.is_taken = state.is_taken_for_trial
            return
        if not self.gateway.bodies.has_room(state.item.body_bytes):
            state.hindrance = "no_memory"
            return
        if not self.fetches.may_start(state):
            state.hindrance = "body_not_read"
            return
        state.is_taken_for_trial = False
        service = choose_service(route, state.item.identifier)
        upstream = self.placement.choose(
            state,
            service,
            is_urgent=is_urgent(state, now),
        )
        if upstream is None:
            self.note_shortage(state, service)
            return
        item = self.fetches.take(state)
        if item is None:
            state.hindrance = "body_not_read"
            self.fetches.start(state)
            return
        state.hindrance = None
        state.has_moved = False
        state.run = ItemRun(
            gateway=self.gateway,
            state=state,
            item=item,
            upstream=upstream,
            host=job.host,
            max_failures=route.max_attempts or DEFAULT_MAX_ATTEMPTS,
            silences=self.silences,
        )
        self.running[state.key] = state
        self.claims.note_start(state)
        self.succession.note_start(state, service)
        eliot.log_message(
            "item:started",
            job=job.identifier,
            item=state.item.identifier,
            upstream=upstream.entry.name,
            online=upstream.count_online(),
            batch=upstream.count_batch(),
            slots=upstream.entry.slots,
            last_event=state.last_event,
            slack=job.due - now,
        )
        ended = state.run.start()
        self.gateway.bodies.in_use_bytes += state.item.body_bytes
        ended.addBoth(self.finish_run, state).addErrback(eliot.write_failure)

    def note_shortage(self, state, service):
        """Note that no upstream has a place for an item.

        For a moment it may only wait for its turn at a free one.
        """
        now = self.gateway.reactor.seconds()
        self.silences.note_shortage(service)
        if state.hindrance != "no_slot":
            state.hindrance = "no_slot"
            state.short_since = now
        elif now - state.short_since >= TURN_WAIT_S:
            if now >= state.held_until:
                state.is_taken = False
            self.succession.note_shortage(service)

    def find_batch_route(self, state):
        """Return the batch route of an item, or None."""
        route = self.gateway.routes.find(
            state.job_state.job.host, state.item.path
        )
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return route

    def has_route_ended(self, state):
        """Return whether the route that is missing for an item has ended."""
        return has_route_ended(
            accepted_at=state.job_state.revision,
            read_up_to=self.gateway.configuration_mirror.revision,
            is_complete=self.gateway.has_complete_routes,
        )

    def handle_missing_route(self, state):
        """Give an item up if its route has ended, or read the routes anew."""
        if self.has_route_ended(state):
            self.give_up(state, "no batch route for the item")
            return
        if self.gateway.configuration_mirror.refresh():
            eliot.log_message(
                "item:route_unknown",
                job=state.job_state.job.identifier,
                item=state.item.identifier,
                accepted_at=state.job_state.revision,
                configuration=self.gateway.configuration_version,
            )

    def give_up(self, state, reason):
        eliot.log_message(
            "item:given_up",
            job=state.job_state.job.identifier,
            item=state.item.identifier,
            reason=reason,
        )
        state.result = ItemResult(
            identifier=state.item.identifier, is_done=False, output=b""
        )
        self.store_result(state)

    def finish_run(self, failure, state):
        """Update the state after the end of a run."""
        if failure is not None and not failure.check(defer.CancelledError):
            eliot.write_failure(failure)
        run, state.run = state.run, None
        self.gateway.bodies.in_use_bytes -= state.item.body_bytes
        state.stopped_at = self.gateway.reactor.seconds()
        if run.has_new_events():
            state.advanced_at = run.progress_at
        self.running.pop(state.key, None)
        event_count = len(state.event_data)
        if state.result is not None:
            self.store_result(state)
        elif not run.is_preempted or self.is_short(run):
            state.not_before = (
                self.gateway.reactor.seconds() + choose_retry_delay(state)
            )
        self.notify_if_drained()
        self.schedule(0.0)
        if state.result is not None:
            self.observe_run(run, state.result, event_count)

    def is_short(self, run):
        return self.gateway.reactor.seconds() - run.started < MIN_RUN_S

    def observe_run(self, run, result, event_count):
        """Update the expected run times from a finished run."""
        seconds = self.gateway.reactor.seconds() - run.started
        self.gateway.metrics.record("run", seconds)
        if result.is_done:
            self.times.observe(
                events=event_count,
                seconds=seconds,
                run_events=event_count - run.initial_event_count,
            )
            self.gateway.placement.speeds.note_run(
                run.upstream,
                kind=run.state.item.path,
                seconds=seconds,
                events=event_count - run.initial_event_count,
            )

    def store_result(self, state):
        if not state.job_state.is_ended or state.result.is_done:
            self.storing += 1
            defer.ensureDeferred(
                persist_result(self.gateway, state)
            ).addErrback(eliot.write_failure).addBoth(self.count_stored)

    def count_stored(self, result):
        self.storing -= 1
        return result

    def preempt_items(self, upstream):
        """Preempt items at an upstream whose slots online requests need."""
        if not upstream.batch:
            return
        excess = self.gateway.batch_placement.count_excess(upstream)
        if not self.shortages.must_preempt(upstream, excess):
            return
        now = self.gateway.wall_clock()
        running_here = sorted(
            (
                state
                for state in self.running.values()
                if state.run.upstream is upstream and not state.run.is_trial()
            ),
            key=lambda state: self.rank(state, now),
        )
        for state in running_here[-excess:]:
            if state.run is None:
                # Preempted already: cancelling a run changes the load, which
                # calls this method again.
                continue
            eliot.log_message(
                "item:preempted",
                job=state.job_state.job.identifier,
                item=state.item.identifier,
                upstream=upstream.entry.name,
                online=upstream.count_online(),
                batch=upstream.count_batch(),
                slots=upstream.entry.slots,
            )
            self.gateway.metrics.count_item("preempted")
            state.run.cancel()


def is_urgent(state, now):
    """Return whether an item may use the headroom of online requests."""
    return state.job_state.job.due - now < URGENT_SLACK_S
