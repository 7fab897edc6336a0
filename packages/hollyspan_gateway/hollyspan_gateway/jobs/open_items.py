"""Log of the items that are open and do not run, with the reason of each."""

import eliot

from hollyspan_policy.hashing import format_hash

from ..routes import choose_service

__all__ = ["OpenItemLog"]

# Items are logged from this age on: several times the usual wait for a slot.
MIN_AGE_S = 3.0
# The same for items that another gateway owns or runs: twice the usual run.
MIN_ELSEWHERE_AGE_S = 10.0
LOG_INTERVAL_S = 5.0
# Limits on the lines of one round, and on the time that a round takes. The
# gateways that own or run items tell more of them.
MAX_LINES = 16
MAX_ELSEWHERE_LINES = 4
MAX_ITEMS = 2_000
ELSEWHERE = frozenset(("owned_elsewhere", "runs_elsewhere"))


class OpenItemLog:
    """Tells at intervals why items are open and not running.

    Parameters
    ----------
    worker : Worker

    Attributes
    ----------
    next_at : float
        Time of the next round, reactor seconds.
    next_jobs : list of JobState
        Jobs that this round has not reached yet.

    Notes
    -----
    Items of one job that wait for the same reason share a line, with the
    oldest of them.
    """

    __slots__ = ("worker", "next_at", "next_jobs")

    def __init__(self, *, worker):
        self.worker = worker
        self.next_at = 0.0
        self.next_jobs = []

    def log_if_due(self):
        """Log the items that are open, unless this was done shortly before."""
        now = self.worker.gateway.reactor.seconds()
        if now < self.next_at:
            return
        self.next_at = now + LOG_INTERVAL_S
        jobs = self.next_jobs or self.worker.catalogue.list_incomplete()
        groups, count, elsewhere = {}, 0, 0
        self.log_unread_jobs(now)
        workers = tuple(sorted(self.worker.gateway.list_workers()))
        runners = self.find_runners()
        while jobs and count < MAX_ITEMS and len(groups) < MAX_LINES:
            job_state = jobs.pop(0)
            count += len(job_state.items)
            for state in job_state.items.values():
                if state.has_result:
                    continue
                age = now - find_last_progress(state)
                if age < MIN_AGE_S:
                    continue
                reason = self.find_reason(state, workers, runners)
                key = (job_state.job.identifier, *reason)
                if reason[0] in ELSEWHERE and key not in groups:
                    if (
                        age < MIN_ELSEWHERE_AGE_S
                        or elsewhere >= MAX_ELSEWHERE_LINES
                    ):
                        continue
                    elsewhere += 1
                groups.setdefault(key, []).append((age, state))
        self.next_jobs = jobs
        for (job, reason, other), waiting in groups.items():
            age, state = max(waiting, key=lambda each: each[0])
            eliot.log_message(
                "items:open",
                job=job,
                reason=reason,
                other=other,
                items=len(waiting),
                item=state.item.identifier,
                age=round(age, 1),
                idle=round(now - state.idle_since, 1),
                last_event=state.last_event,
            )

    def log_unread_jobs(self, now):
        """Log the jobs whose records are not known here."""
        catalogue = self.worker.catalogue
        unread = [
            (identifier, now - since)
            for identifier, since in catalogue.unread.items()
            if now - since >= MIN_AGE_S
        ]
        for identifier, age in unread[:MAX_LINES]:
            eliot.log_message(
                "items:open",
                job=identifier,
                reason=find_unread_reason(catalogue, identifier),
                age=round(age, 1),
            )

    def find_runners(self):
        """Return the peer that says that it runs an item, by its key."""
        return {
            key: peer.identifier
            for peer in self.worker.gateway.peers.list_workers()
            for key in peer.items
        }

    def find_reason(self, state, workers, runners):
        """Return why an item does not run.

        Parameters
        ----------
        state : ItemState
        workers : tuple of str
            Identifiers of the gateways that can run items.
        runners : dict
            Identifier of a peer by the key of an item that runs there.

        Returns
        -------
        (str, str or None)
            The reason, and the gateway or the part of a prompt in question.
        """
        gateway = self.worker.gateway
        if state.result is not None:
            return "result_not_stored", None
        if state.run is not None:
            return "run_without_events", state.run.upstream.entry.name
        if self.worker.is_stopping:
            return "stopping", None
        if gateway.routes is None:
            return "no_configuration", None
        if not gateway.upstreams_mirror.is_connected:
            return "no_store", None
        if state.key in runners:
            return "runs_elsewhere", runners[state.key]
        owner = self.worker.find_owner(state, workers)
        is_here = owner == gateway.peers.identifier or state.is_taken
        if not is_here and gateway.reach.is_confirmed:
            return "links_lost", owner
        if not is_here:
            return "owned_elsewhere", owner
        if state.job_state.is_reading_results:
            return "results_being_read", None
        if not state.job_state.has_read_results and not state.is_taken:
            return "results_not_read", None
        if state.not_before > gateway.reactor.seconds():
            return "delay", None
        if state.must_look_up and not state.is_taken:
            return "result_not_looked_up", None
        block = gateway.guard.block_list.find(state.shared_parts)
        if block is not None:
            return "blocked", format_hash(min(block.keys))
        if state.hindrance == "no_slot":
            return self.explain_places(state), None
        return state.hindrance or "not_tried", None

    def explain_places(self, state):
        """Return why no upstream has a place for an item."""
        gateway = self.worker.gateway
        route = gateway.routes.find(state.job_state.job.host, state.item.path)
        if route is None:
            return "no_route"
        usable = gateway.directory.list_usable(
            choose_service(route, state.item.identifier)
        )
        now = gateway.reactor.seconds()
        if not usable:
            return "no_upstream"
        if all(map(gateway.placement.is_lost, usable)):
            return "no_link"
        if all(upstream.is_suspect(now=now) for upstream in usable):
            return "upstreams_suspect"
        return "no_slot"


def find_unread_reason(catalogue, identifier):
    """Return why the record of a job is not known."""
    if identifier in catalogue.unreadable:
        return "record_unreadable"
    if catalogue.room.is_short and identifier in catalogue.room.waiting:
        return "no_room"
    return "record_not_read"


def find_last_progress(state):
    """Return the time of an item's last event, or when it was first seen."""
    last = max(state.advanced_at, state.job_state.seen_at)
    if state.run is not None and state.run.has_new_events():
        last = max(last, state.run.progress_at)
    return last
