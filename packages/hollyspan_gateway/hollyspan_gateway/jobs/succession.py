"""Start of items that their owners leave alone."""

import itertools
import math

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.batch import may_succeed
from hollyspan_policy.batch import MIN_IDLE_S
from hollyspan_policy.crashes import CLAIM_SPREAD_S
from hollyspan_policy.ownership import choose_owner
from hollyspan_policy.ownership import rank_owners

from ..clock import wait
from ..peers import parse_identifier
from ..routes import choose_service
from ..routes import RouteKind
from .claims import build_finished_key
from .claims import is_crowded
from .records import build_result_key

__all__ = ["Succession"]

LOOK_INTERVAL_S = 1.0
# After a longer time without a look, what peers work on is known anew only
# from their next messages.
MAX_LOOK_GAP_S = 3.0
# Reconnections of the watch within this time of each other are one series:
# longer than any time without work after which an item is taken over.
RECONNECTION_SERIES_S = 20.0
# Items that one look visits; the next one goes on behind them.
MAX_ITEMS = 2_000
# Weights of gateways that one look computes for the order of owners of items.
MAX_RANKED_WEIGHTS = 8_000
# Results that are looked up in the store at the same time.
MAX_LOOKUPS = 8
LOOKUP_RETRY_DELAY_S = 1.0
# Time for which the start of an item tells that others due earlier wait, and
# the least time by which they are due earlier.
START_MEMORY_S = 4.0
MIN_DUE_LEAD_S = 2.0
# Time for which a gateway names an item that it has taken over without a
# place, before it starts the item, so that its owner and others leave it
# alone; and time after which it gives the item up.
NOTICE_S = 2.0
HOLD_S = 6.0
# Limit on the items that wait here in this way.
MAX_HELD_ITEMS = 16
# Time for which an item counts as named after a peer has named it.
CLAIM_MEMORY_S = 4.0
# Time without an event after which a run is cancelled, whatever it waits for:
# longer than each timeout of a run.
RUN_TIMEOUT_S = 7.0


class Succession:
    """Finds items that nobody works on, and starts those due here.

    Parameters
    ----------
    worker : Worker

    Attributes
    ----------
    workers : tuple of str
        Gateways that can run items.
    claims : dict
        Peer that names an item as its work, by the item's key.
    free_since : dict
        Time since which items had a place at a service, whenever this gateway
        has looked, by its name.
    latest_starts : dict
        Time and due time of the item, among those of this gateway that have
        lately started, that is due last, by the name of its service.
    held : list of ItemState
        Items taken over without a place.
    trial_item : ItemState or None
        The last item taken over to try its block.
    began_at : float
        Start of the series of looks, reactor seconds.
    reconnected_at : float
        Time of the last reconnection of the watch, reactor seconds.
    series_at : float
        Time of the first one of its series.

    Notes
    -----
    Looks are seldom and visit a limited number of items, and the result of
    an item is looked up only when its turn has come here.
    """

    __slots__ = (
        "worker",
        "workers",
        "claims",
        "free_since",
        "latest_starts",
        "held",
        "trial_item",
        "began_at",
        "reconnected_at",
        "series_at",
        "looked_at",
        "now",
        "walk",
        "lookups",
        "ranked_weights",
    )

    def __init__(self, *, worker):
        self.worker = worker
        self.workers = ()
        self.claims = {}
        self.free_since = {}
        self.latest_starts = {}
        self.held = []
        self.trial_item = None
        self.began_at = None
        self.reconnected_at = -math.inf
        self.series_at = -math.inf
        self.looked_at = None
        self.now = 0.0
        self.walk = None
        self.lookups = set()
        self.ranked_weights = 0

    def look_if_due(self, workers):
        """Look for items that nobody works on, unless done shortly before.

        Parameters
        ----------
        workers : tuple of str
            Gateways that can run items.
        """
        self.now = now = self.worker.gateway.reactor.seconds()
        if self.looked_at is None or now - self.looked_at > MAX_LOOK_GAP_S:
            self.began_at = now
            self.free_since = {}
        elif now - self.looked_at < LOOK_INTERVAL_S:
            return
        self.looked_at = now
        self.workers = workers
        self.note_reconnection()
        self.cancel_stalled_runs()
        if len(workers) < 2:
            # There is nobody to tell that they are complete.
            self.worker.catalogue.forget_complete()
            return
        self.ranked_weights = 0
        self.claims = self.find_claims()
        self.update_places()
        self.held = [state for state in self.held if state.held_until > now]
        if self.walk is None:
            self.walk = self.visit_jobs()
        # The walk begins anew after its end, or after an error.
        walk, self.walk = self.walk, None
        visited = sum(1 for _ in itertools.islice(walk, MAX_ITEMS))
        if visited == MAX_ITEMS:
            self.walk = walk

    def note_reconnection(self):
        """Note when the last series of reconnections of the watch began."""
        at = self.worker.gateway.upstreams_mirror.reconnected_at
        if at is None or at == self.reconnected_at:
            return
        if at - self.reconnected_at >= RECONNECTION_SERIES_S:
            self.series_at = at
        self.reconnected_at = at

    def cancel_stalled_runs(self):
        """Cancel the runs that have neither ended nor made progress."""
        for state in list(self.worker.running.values()):
            run = state.run
            if run is None or self.now - run.progress_at < RUN_TIMEOUT_S:
                continue
            eliot.log_message(
                "item:run_stalled",
                job=state.job_state.job.identifier,
                item=state.item.identifier,
                upstream=run.upstream.entry.name,
                seconds=round(self.now - run.progress_at, 1),
            )
            run.cancel()

    def find_claims(self):
        """Return the peer that names an item as its work, by its key."""
        return {
            key: peer
            for peer in self.worker.gateway.peers.list_workers()
            for key in peer.items
        }

    def update_places(self):
        """Note at which services items have had a place all the time."""
        gateway = self.worker.gateway
        services = {
            name
            for route in gateway.routes.list_routes()
            if route.kind is RouteKind.BATCH
            for name, _ in route.services
        }
        for service in services:
            if gateway.batch_placement.has_place(service):
                self.free_since.setdefault(service, self.now)
            else:
                self.free_since.pop(service, None)

    def note_start(self, state, service):
        """Note the start of an item that this gateway owns."""
        if state.is_taken:
            return
        now = self.worker.gateway.reactor.seconds()
        started_at, due = self.latest_starts.get(service, (now, -math.inf))
        if now - started_at >= START_MEMORY_S:
            due = -math.inf
        if state.job_state.job.due >= due:
            self.latest_starts[service] = now, state.job_state.job.due

    def is_overtaken(self, state):
        """Return whether an item that is due later has just started here."""
        route = self.worker.find_batch_route(state)
        if route is None or len(self.held) >= MAX_HELD_ITEMS:
            return False
        service = choose_service(route, state.item.identifier)
        started_at, due = self.latest_starts.get(service, (-math.inf, 0.0))
        return (
            self.now - started_at < START_MEMORY_S
            and due - state.job_state.job.due >= MIN_DUE_LEAD_S
        )

    def note_shortage(self, service):
        """Note that an item that runs here has found no place."""
        self.free_since.pop(service, None)

    def visit_jobs(self):
        """Visit the items of all jobs that may have open ones."""
        for job_state in list(self.worker.catalogue.jobs.values()):
            if job_state is None or job_state.is_ended:
                continue
            if (
                job_state.finished_among == self.workers
                and job_state.is_complete()
            ):
                self.worker.catalogue.forget_items(job_state)
                continue
            yield from self.visit_items(job_state)

    def visit_items(self, job_state):
        """Visit the items of a job; note when none is left here."""
        workers = self.workers
        identifier = self.worker.gateway.peers.identifier
        finished_key = build_finished_key(job_state, workers)
        open_count = own_count = 0
        for state in job_state.items.values():
            yield
            if workers != self.workers:
                # Items have other owners now; the next walk begins anew.
                return
            if not state.has_result:
                owner = self.worker.find_owner(state, workers)
                open_count += owner == identifier
                self.visit(state, owner, finished_key)
            own_count += state.owner == identifier
        for key in job_state.forgotten_keys:
            yield
            if workers != self.workers:
                return
            own_count += choose_owner(f"{key:x}", workers) == identifier
        if open_count == 0 and job_state.finished_among != workers:
            job_state.finished_among = workers
            if own_count > 0:
                self.worker.claims.note_finished(job_state, workers)

    def visit(self, state, owner, finished_key):
        """Update what is known of an item, and take it if its turn is here."""
        if state.run is not None or state.result is not None:
            return
        gateway = self.worker.gateway
        peer = self.claims.get(state.key)
        if peer is not None:
            self.note_claim(state, peer)
        elif self.now - state.claimed_at < CLAIM_MEMORY_S:
            # It may be between the end of a run and the next one.
            peer = gateway.peers.peers.get(parse_identifier(state.claim[0]))
        if state.is_taken or state.key in self.lookups:
            return
        blocks = self.list_blocks(state)
        if blocks and not self.may_begin_trial(state, blocks):
            # Its owner goes on once the block has ended.
            state.idle_since = self.now
            return
        is_owner = owner == gateway.peers.identifier
        if is_owner and peer is None:
            return
        owning_peer = gateway.peers.peers.get(parse_identifier(owner))
        if (
            owning_peer is not None
            and state.key not in self.claims
            and finished_key in owning_peer.finished
        ):
            state.has_result = True
            return
        if (
            owning_peer is not None
            and state.key not in self.claims
            and is_crowded(owning_peer, state.job_state)
        ):
            # Its owner may go on with it after a delay.
            state.idle_since = self.now
            return
        if self.is_due(state, peer, owning_peer, is_owner=is_owner):
            self.look_up(state, is_succession=True)

    def look_up(self, state, *, is_succession):
        """Look the result of an item up, and let it run here without one.

        Parameters
        ----------
        state : ItemState
        is_succession : bool
            Whether it runs here though another gateway owns or names it.
        """
        if state.key in self.lookups or len(self.lookups) >= MAX_LOOKUPS:
            return
        self.lookups.add(state.key)
        defer.ensureDeferred(
            self.take(state, is_succession=is_succession)
        ).addErrback(eliot.write_failure)

    def note_claim(self, state, peer):
        """Note that a peer names an item, and whether it makes progress."""
        state.claimed_at = self.now
        claim = (peer.identifier, peer.progress.get(state.key))
        if claim != state.claim:
            state.claim = claim
            state.idle_since = self.now
            state.is_taken = False

    def is_due(self, state, claimer, owner, *, is_owner):
        """Return whether an item may be started here now."""
        idle_since = max(
            state.idle_since,
            state.job_state.seen_at,
            self.began_at,
            self.series_at,
        )
        if self.now - idle_since < MIN_IDLE_S:
            return False
        if claimer is not None and not self.can_stall(claimer):
            return False
        free_since, rank, is_overtaken = self.now, -1, False
        if not is_owner:
            free_since = self.find_free_since(state, idle_since)
            is_overtaken = self.is_overtaken(state)
            if free_since < self.now or is_overtaken:
                rank = self.find_rank(state)
            else:
                rank = None
        if rank is None:
            return False
        return may_succeed(
            rank=rank,
            idle_seconds=self.now - idle_since,
            free_seconds=self.now - free_since,
            is_owner_heard=owner is not None and owner.is_live(self.now),
            is_claimed=claimer is not None,
            is_overtaken=is_overtaken,
        )

    def find_free_since(self, state, idle_since):
        """Return the time since which an item could have been started here.

        One whose route has ended is given up, which takes no place.
        """
        route = self.worker.find_batch_route(state)
        if route is not None:
            service = choose_service(route, state.item.identifier)
            return self.free_since.get(service, self.now)
        if self.worker.has_route_ended(state):
            return idle_since
        return self.now

    def has_place(self, state):
        """Return whether an item could have been started here for a time."""
        if state.owner == self.worker.gateway.peers.identifier:
            return True
        free_since = self.find_free_since(state, state.idle_since)
        return self.now - free_since >= MIN_IDLE_S

    def hold(self, state):
        """Name an item as work of this gateway while it waits for a place."""
        now = self.worker.gateway.reactor.seconds()
        state.not_before = max(state.not_before, now + NOTICE_S)
        state.held_until = now + HOLD_S
        self.held.append(state)
        self.worker.claims.note_held(state)

    def list_blocks(self, state):
        """Return the blocks that an item falls under."""
        block_list = self.worker.gateway.guard.block_list
        if not block_list.blocks:
            return []
        return block_list.list_matching(state.shared_parts)

    def may_begin_trial(self, state, blocks):
        """Return whether an item may be the trial of its blocks here.

        The owner of a blocked item makes the trial in time unless it leaves
        the item alone. One item a gateway suffices.
        """
        schedule = self.worker.gateway.guard.trials.schedule
        if not all(map(schedule.is_open, blocks)):
            return False
        if any(
            self.now < block.get_latest_trial_time(spread=CLAIM_SPREAD_S)
            for block in blocks
        ):
            return False
        other = self.trial_item
        return (
            other is None
            or other is state
            or other.has_result
            or other.job_state.is_ended
            or not (other.is_taken and other.is_taken_for_trial)
        )

    def keep_for_trial(self, state):
        """Leave an item that was taken over to its owner, but for a trial.

        Returns
        -------
        bool
            Whether the item may be started here.
        """
        if not state.is_taken_for_trial:
            return True
        blocks = self.list_blocks(state)
        if blocks and self.may_begin_trial(state, blocks):
            return True
        state.is_taken = False
        state.is_taken_for_trial = False
        state.idle_since = self.now
        return False

    def can_stall(self, peer):
        """Return whether a peer would tell of progress, or is not heard."""
        return peer.tells_waiting or not peer.is_live(self.now)

    def find_rank(self, state):
        """Return the rank of this gateway behind an item's owner, or None."""
        identifier = self.worker.gateway.peers.identifier
        if state.rank is None and identifier in self.workers:
            if self.ranked_weights >= MAX_RANKED_WEIGHTS:
                return None
            self.ranked_weights += len(self.workers)
            order = rank_owners(f"{state.key:x}", self.workers)
            state.rank = order.index(identifier) - 1
        return state.rank

    async def take(self, state, *, is_succession):
        """Run an item here if it has no result."""
        job, idle_since = state.job_state.job.identifier, state.idle_since
        try:
            entry = await self.worker.gateway.store.get(
                build_result_key(job, state.item.identifier)
            )
        except StoreUnavailableError as error:
            eliot.log_message(
                "item:result_unreadable",
                job=job,
                item=state.item.identifier,
                reason=error.message,
            )
            await wait(self.worker.gateway.reactor, LOOKUP_RETRY_DELAY_S)
            return
        finally:
            self.lookups.discard(state.key)
        if entry is not None:
            state.has_result = True
            return
        if idle_since != state.idle_since:
            # Its owner has changed meanwhile, or what is told of it.
            return
        state.must_look_up = False
        if is_succession:
            state.is_taken = True
            state.is_taken_for_trial = bool(self.list_blocks(state))
            if state.is_taken_for_trial:
                self.trial_item = state
            state.hindrance = None
            if not self.has_place(state):
                self.hold(state)
            eliot.log_message(
                "item:taken_over",
                job=job,
                item=state.item.identifier,
                owner=state.owner,
                idle=round(self.now - idle_since, 1),
                claimed_by=state.claim and state.claim[0],
            )
        self.worker.schedule(0.0)
