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
# Limits on the lines of one round, and on the time that a round takes.
MAX_LINES = 16
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
        groups, count = {}, 0
        workers = tuple(sorted(self.worker.gateway.list_workers()))
        runners = self.find_runners()
        while jobs and count < MAX_ITEMS and len(groups) < MAX_LINES:
            job_state = jobs.pop(0)
            count += len(job_state.items)
            for state in job_state.items.values():
                age = now - max(state.stopped_at, job_state.seen_at)
                if state.has_result or state.run or age < MIN_AGE_S:
                    continue
                reason = self.find_reason(state, workers, runners)
                if age < MIN_ELSEWHERE_AGE_S and reason[0] in ELSEWHERE:
                    continue
                key = (job_state.job.identifier, *reason)
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
                last_event=state.last_event,
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
        if self.worker.is_stopping:
            return "stopping", None
        if gateway.routes is None:
            return "no_configuration", None
        if not gateway.upstreams_mirror.is_connected:
            return "no_store", None
        if state.key in runners:
            return "runs_elsewhere", runners[state.key]
        owner = self.worker.find_owner(state, workers)
        if owner != gateway.peers.identifier:
            return "owned_elsewhere", owner
        if not state.job_state.has_read_results:
            return "results_not_read", None
        if state.not_before > gateway.reactor.seconds():
            return "delay", None
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
