"""Notices of online load."""

import time

from hollyspan_core.messages import build_notice
from hollyspan_core.messages import Notice

from .interval import FULL_RATE_DAEMONS
from .loads import describe_load
from .split import split_loads
from .targets import list_near

__all__ = ["Notices"]

# Falls of the online load are told together; rises at once.
FALL_SECONDS = 0.05


class Notices:
    """Tells the daemons of the data centre how the online load changes.

    Parameters
    ----------
    runtime : Runtime
    datagrams : Datagrams
    answers : Answers
    told : ToldLoads
    count : MessageCount
        Numbers the messages of this daemon.
    """

    __slots__ = (
        "runtime",
        "datagrams",
        "answers",
        "told",
        "count",
        "online",
        "changed",
        "risen",
        "due",
    )

    def __init__(self, *, runtime, datagrams, answers, told, count):
        self.runtime = runtime
        self.datagrams = datagrams
        self.answers = answers
        self.told = told
        self.count = count
        self.online = {}
        self.changed = {}
        self.risen = set()
        self.due = None

    def stop(self):
        """Forget the notices that are due."""
        if self.due is not None and self.due.active():
            self.due.cancel()
        self.due = None

    def hear_load(self, upstream):
        """Prepare a notice when the own online load has changed.

        Parameters
        ----------
        upstream : Upstream
        """
        before = self.online.get(upstream.name, 0)
        if upstream.online == before:
            return
        self.online[upstream.name] = upstream.online
        self.changed[upstream.name] = upstream
        if upstream.online > before:
            self.risen.add(upstream.name)
            # One notice for all that arrives within a turn of the loop.
            self.notify_within(0)
        else:
            self.notify_within(FALL_SECONDS)

    def notify_within(self, seconds):
        """Send notices after some seconds, or sooner if they are due."""
        due = self.due
        reactor = self.runtime.reactor
        if due is None or not due.active():
            self.due = reactor.callLater(seconds, self.send_notices)
        elif due.getTime() > reactor.seconds() + seconds:
            due.reset(seconds)

    def send_notices(self):
        """Tell the daemons of the data centre the loads that changed."""
        changed, self.changed = self.changed, {}
        near = list_near(self.runtime, now=time.monotonic())
        if len(near) > FULL_RATE_DAEMONS:
            # Heartbeats tell the others; datagrams would grow too many.
            owners = {self.runtime.owners.find(u) for u in changed.values()}
            near = [seed for seed in near if seed.instance in owners]
        risen, self.risen = self.risen, set()
        loads = [describe_load(upstream) for upstream in changed.values()]
        for part in split_loads(loads):
            for seed in near:
                told = [changed[load.upstream] for load in part]
                asked = self.list_asked(told, owner=seed.instance, risen=risen)
                self.send_notice(seed, part, asked=asked)

    def list_asked(self, upstreams, *, owner, risen):
        """Return the upstreams whose owner is to answer a notice."""
        return [
            upstream
            for upstream in upstreams
            if upstream.name in risen
            and self.runtime.owners.find(upstream) == owner
        ]

    def send_notice(self, seed, loads, *, asked):
        """Tell a daemon of loads; wait for its answer as an owner."""
        sequence = self.count.take()
        for load in loads:
            self.told.note(seed.instance, load.upstream)
        notice = Notice(
            instance=self.runtime.settings.instance,
            incarnation=self.runtime.incarnation,
            sequence=sequence,
            in_flight=loads,
            wants_answer=bool(asked),
        )
        datagram = self.datagrams.encode(build_notice(notice))
        if not asked:
            self.datagrams.send(
                datagram, address=seed.address, port=seed.peer_port
            )
            return
        self.answers.questions.ask(
            seed.instance,
            sequence=notice.sequence,
            upstreams=asked,
            send=lambda: self.datagrams.send(
                datagram, address=seed.address, port=seed.peer_port
            ),
        )
