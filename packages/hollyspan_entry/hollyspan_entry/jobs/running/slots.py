"""Batch slots of an upstream owned by this daemon."""

import math

from hollyspan_core.configuration import Scope
from hollyspan_policy.batch import BatchGate
from hollyspan_policy.batch import choose_preempted
from hollyspan_policy.batch import count_batch_slots
from hollyspan_policy.batch import StreamView

from .breaker import CircuitBreaker
from .run import StopReason

__all__ = ["UpstreamSlots"]

# Long enough for a silent daemon to be considered failed.
BLOCK_DURATION_S = 2.0


class UpstreamSlots:
    """Batch streams of one upstream and the gate that limits them.

    Parameters
    ----------
    upstream : Upstream

    Attributes
    ----------
    gate : BatchGate or None
    policy : str
        Batch policy in force.
    running : set of Run
    paused : list of (HeldChunk, Item, float)
        Preempted items whose stream the engine may still retain, with the
        monotonic seconds of the preemption; the earliest first.
    blocked_until : float
        Monotonic seconds until which no batch item may run.
    breaker : CircuitBreaker
    owned : bool
        False when another daemon has become the owner.
    peers_live : bool
        False while a peer of the data centre is silent.
    """

    __slots__ = (
        "upstream",
        "gate",
        "policy",
        "running",
        "paused",
        "blocked_until",
        "owned",
        "peers_live",
        "breaker",
        "last_report_at",
    )

    def __init__(self, *, upstream):
        self.upstream = upstream
        self.gate = None
        self.policy = None
        self.running = set()
        self.paused = []
        self.blocked_until = -math.inf
        self.owned = True
        self.peers_live = True
        self.breaker = CircuitBreaker()
        self.last_report_at = None

    def configure(self, configuration, *, now, wall_time):
        """Update the policy; rebuild the gate if its parameters changed.

        Parameters
        ----------
        configuration : Configuration
        now : float
            Monotonic seconds.
        wall_time : float
            Seconds since the epoch.
        """
        scope = Scope(
            service=self.upstream.service,
            data_centre=self.upstream.data_centre,
            upstream=self.upstream.name,
        )

        def read(name):
            return configuration.get(name, scope=scope, now=wall_time)

        self.policy = read("batch.policy")
        wanted = (
            self.upstream.slots,
            read("batch.reserve_slots"),
            read("batch.harm_weight"),
        )
        gate = self.gate
        if gate and wanted == (gate.slots, gate.reserve, gate.harm_weight):
            return
        slots, reserve, harm_weight = wanted
        self.gate = BatchGate(
            slots=slots, reserve=reserve, harm_weight=harm_weight
        )
        self.observe(now=now)

    def observe(self, *, now):
        """Pass the number of online requests in flight to the gate."""
        self.gate.observe_online(self.upstream.count_online(), now=now)

    def observe_peers(self, peers_live, *, now):
        """Pass a change of the liveness of the peers to the gate."""
        if peers_live != self.peers_live:
            self.peers_live = peers_live
            self.gate.observe_peers(peers_live, now=now)

    def observe_report(self, *, now):
        """Pass each new load report of the upstream to the gate."""
        upstream = self.upstream
        if (
            upstream.last_report_at is None
            or upstream.last_report_at == self.last_report_at
        ):
            return
        self.last_report_at = upstream.last_report_at
        self.gate.observe_report(
            running=upstream.running,
            waiting=upstream.waiting,
            batch=upstream.count_batch(),
            now=now,
        )

    def observe_upstreams(self, names, *, now):
        """Pass the upstreams available to online requests to the gate."""
        rank = names.index(self.upstream.name)
        if (len(names), rank) != (self.gate.upstreams, self.gate.rank):
            self.gate.observe_upstreams(len(names), rank=rank, now=now)

    def count_allowed(self, *, now):
        """Count the batch streams that may run, including those of peers."""
        if now < self.blocked_until:
            return 0
        return count_batch_slots(
            self.policy,
            self.gate,
            now=now,
            running=self.upstream.count_batch(),
        )

    def block_batch(self, *, now):
        """Block batch items for a while.

        Used when the upstream may have online requests of which this daemon
        has not been informed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.blocked_until = now + BLOCK_DURATION_S
        self.preempt(now=now)

    def count_free(self, *, now):
        """Count the batch streams that may start now."""
        if not self.owned or not self.is_usable:
            return 0
        free = self.count_allowed(now=now) - self.upstream.count_batch()
        limit = self.breaker.count_allowed(running=len(self.running), now=now)
        return free if limit is None else min(free, limit)

    @property
    def is_usable(self):
        """True when new items may be sent to the upstream."""
        return self.upstream.reachable and not self.upstream.leaving

    def preempt(self, *, now):
        """Cancel the batch streams that exceed the allowed number.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            Number of streams cancelled.
        """
        running = [run for run in self.running if run.reason is None]
        stopping = len(self.running) - len(running)
        active = [run for run in running if not run.item.pinned]
        surplus = self.upstream.count_batch() - self.count_allowed(now=now)
        by_stream = {run.item.stream_id: run for run in active}
        chosen = choose_preempted(
            [build_stream_view(run) for run in active],
            count=surplus - stopping,
        )
        for view in chosen:
            by_stream[view.stream].cancel(StopReason.PREEMPTED)
        return len(chosen)

    def pop_paused(self):
        """Remove and return the earliest preempted item, or None.

        Returns
        -------
        tuple of (HeldChunk, Item) or None
        """
        while self.paused:
            chunk, item, _ = self.paused.pop(0)
            if not chunk.stopped:
                return chunk, item
        return None


def build_stream_view(run):
    return StreamView(
        stream=run.item.stream_id,
        due=run.chunk.record.due,
        # If its stream is lost, a non-idempotent item cannot be run again.
        resumable=run.chunk.record.idempotent,
        generated=len(run.item.events),
    )
