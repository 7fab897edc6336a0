"""Notices of changed online load."""

import time

from hollyspan_core.messages import build_notice
from hollyspan_core.messages import Notice

from .interval import MAX_FULL_RATE_PEERS
from .loads import describe_load
from .recipients import list_local_daemons
from .split import split_loads

__all__ = ["Notices"]

# Decreases of the online load are coalesced; increases are sent at once.
DECREASE_DELAY_S = 0.05


class Notices:
    """Sender of notices of online load to the daemons of the data centre.

    Parameters
    ----------
    runtime : Runtime
    datagrams : Datagrams
    notice_answers : NoticeAnswers
    sent_loads : SentLoads
    message_sequence : MessageSequence
        Numbers the messages of this daemon.
    """

    __slots__ = (
        "runtime",
        "datagrams",
        "notice_answers",
        "sent_loads",
        "message_sequence",
        "last_online",
        "changed",
        "increased",
        "pending_call",
    )

    def __init__(
        self,
        *,
        runtime,
        datagrams,
        notice_answers,
        sent_loads,
        message_sequence,
    ):
        self.runtime = runtime
        self.datagrams = datagrams
        self.notice_answers = notice_answers
        self.sent_loads = sent_loads
        self.message_sequence = message_sequence
        self.last_online = {}
        self.changed = {}
        self.increased = set()
        self.pending_call = None

    def stop(self):
        """Cancel scheduled notices."""
        if self.pending_call is not None and self.pending_call.active():
            self.pending_call.cancel()
        self.pending_call = None

    def handle_load_change(self, upstream):
        """Schedule a notice if this daemon's online load has changed.

        Parameters
        ----------
        upstream : Upstream
        """
        previous = self.last_online.get(upstream.name, 0)
        if upstream.online == previous:
            return
        self.last_online[upstream.name] = upstream.online
        self.changed[upstream.name] = upstream
        if upstream.online > previous:
            self.increased.add(upstream.name)
            # Coalesce all changes in one reactor iteration into one notice.
            self.schedule_notices(0)
        else:
            self.schedule_notices(DECREASE_DELAY_S)

    def schedule_notices(self, seconds):
        """Send notices after a delay, unless they are due earlier."""
        pending_call = self.pending_call
        reactor = self.runtime.reactor
        if pending_call is None or not pending_call.active():
            self.pending_call = reactor.callLater(seconds, self.send_notices)
        elif pending_call.getTime() > reactor.seconds() + seconds:
            pending_call.reset(seconds)

    def send_notices(self):
        """Send the changed loads to the daemons of the data centre."""
        changed, self.changed = self.changed, {}
        recipients = list_local_daemons(self.runtime, now=time.monotonic())
        if len(recipients) > MAX_FULL_RATE_PEERS:
            # The number of datagrams would grow too large; the other daemons
            # receive the loads with the heartbeats.
            owners = {self.runtime.owners.find(u) for u in changed.values()}
            recipients = [
                seed for seed in recipients if seed.instance in owners
            ]
        increased, self.increased = self.increased, set()
        loads = [describe_load(upstream) for upstream in changed.values()]
        for part in split_loads(loads):
            for seed in recipients:
                upstreams = [changed[load.upstream] for load in part]
                awaited = self.list_awaiting_answer(
                    upstreams, owner=seed.instance, increased=increased
                )
                self.send_notice(seed, part, awaited=awaited)

    def list_awaiting_answer(self, upstreams, *, owner, increased):
        """Return the upstreams for which the owner must answer the notice."""
        return [
            upstream
            for upstream in upstreams
            if upstream.name in increased
            and self.runtime.owners.find(upstream) == owner
        ]

    def send_notice(self, seed, loads, *, awaited):
        """Send loads to a daemon; await its answer if it owns an upstream."""
        sequence = self.message_sequence.advance()
        for load in loads:
            self.sent_loads.record(seed.instance, load.upstream)
        notice = Notice(
            instance=self.runtime.settings.instance,
            incarnation=self.runtime.incarnation,
            sequence=sequence,
            in_flight=loads,
            wants_answer=bool(awaited),
        )
        datagram = self.datagrams.encode(build_notice(notice))
        if not awaited:
            self.datagrams.send(
                datagram, address=seed.address, port=seed.peer_port
            )
            return
        self.notice_answers.pending_notices.send_notice(
            seed.instance,
            sequence=notice.sequence,
            upstreams=awaited,
            send=lambda: self.datagrams.send(
                datagram, address=seed.address, port=seed.peer_port
            ),
        )
