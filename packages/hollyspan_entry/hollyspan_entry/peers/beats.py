"""Sending of heartbeats and notices."""

import time

from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import build_notice
from hollyspan_core.messages import Heartbeat
from hollyspan_core.messages import Notice

from .answers import Answers
from .answers import list_own
from .batchstreams import ToldStreams
from .interval import choose_interval
from .interval import FULL_RATE_DAEMONS
from .loads import describe_load
from .loads import list_loads
from .loads import list_reports
from .split import split_heartbeat
from .split import split_loads
from .states import build_member
from .states import build_remote
from .states import describe_self
from .targets import list_near
from .targets import list_partners
from .told import ToldLoads

__all__ = ["Beats", "FAR_BEATS"]

# Heartbeats to other data centres, and what is passed on of them, go with
# every fourth one.
FAR_BEATS = 4
SOON_SECONDS = 0.05
# Falls of the online load are told together; rises at once.
FALL_SECONDS = 0.05
FORGET_SECONDS = 600.0


class Beats:
    """Heartbeats and notices of this daemon.

    Parameters
    ----------
    runtime : Runtime
    datagrams : Datagrams
    receipts : Receipts
    probes : Probes
    """

    __slots__ = (
        "runtime",
        "datagrams",
        "receipts",
        "probes",
        "told",
        "told_streams",
        "answers",
        "sequence",
        "turns",
        "soon",
        "online",
        "changed",
        "risen",
        "notice",
    )

    def __init__(self, *, runtime, datagrams, receipts, probes):
        self.runtime = runtime
        self.datagrams = datagrams
        self.receipts = receipts
        self.probes = probes
        self.told = ToldLoads()
        self.told_streams = ToldStreams()
        self.answers = Answers(runtime=runtime, datagrams=datagrams)
        self.sequence = 0
        self.turns = 0
        self.soon = None
        self.online = {}
        self.changed = {}
        self.risen = set()
        self.notice = None

    async def beat(self):
        """Send the heartbeats that are due.

        Returns
        -------
        float
            Seconds until the next ones.
        """
        self.send_beats(far=self.turns % FAR_BEATS == 0)
        self.turns += 1
        return self.receipts.interval

    def beat_soon(self, *details):
        """Send heartbeats to all within a moment, outside the interval.

        Parameters
        ----------
        *details : object
            Ignored, so that this can be a listener.
        """
        if self.soon is None:
            self.soon = self.runtime.reactor.callLater(
                SOON_SECONDS, self.beat_now
            )

    def beat_now(self):
        """Send heartbeats to all."""
        self.stop()
        self.send_beats(far=True)

    def stop(self):
        """Forget the heartbeat and the notices that are due soon."""
        for call in (self.soon, self.notice):
            if call is not None and call.active():
                call.cancel()
        self.soon = None
        self.notice = None
        # The next heartbeat tells all loads.
        self.changed = {}

    def send_beats(self, *, far):
        """Send heartbeats to the own data centre, and to others if asked."""
        now = time.monotonic()
        self.sequence += 1
        sender = describe_self(self.runtime, sequence=self.sequence)
        self.runtime.members.observe(
            build_member(sender, heard=now, timeout=None)
        )
        self.forget_gone(now=now)
        self.runtime.owners.refresh()
        base = self.build_base(sender, now=now)
        self.send_near(base, far=far, now=now)
        if far:
            self.send_far(base, now=now)

    def forget_gone(self, *, now):
        self.receipts.drop_silent(now=now)
        gone = self.runtime.members.forget(before=now - FORGET_SECONDS)
        self.receipts.forget(gone)
        self.runtime.cancelled_jobs.forget(before=now - FORGET_SECONDS)

    def build_base(self, sender, *, now):
        runtime = self.runtime
        return Heartbeat(
            sender=sender,
            leaving_upstreams=runtime.departures.announcements.list_names(
                now=now
            ),
            cancelled_jobs=runtime.cancelled_jobs.list_names(now=now),
            reports=list_reports(runtime),
        )

    def send_near(self, base, *, far, now):
        remotes = self.list_remotes(now=now) if far else ()
        loads = list_loads(self.runtime)
        near = list_near(self.runtime, now=now)
        self.receipts.interval = choose_interval(
            self.runtime.settings.timing, near=len(near)
        )
        more = {
            "remotes": remotes,
            "reports": base.reports,
            "batch_streams": self.told_streams.list(list_own(self.runtime)),
        }
        plain = self.encode(base, **more)
        for seed in near:
            told = self.told.complete(seed.instance, loads)
            datagrams = plain
            if told:
                datagrams = self.encode(base, in_flight=told, **more)
            self.send_all(datagrams, seed)

    def send_far(self, base, *, now):
        datagrams = None
        partners = list_partners(
            self.runtime, receipts=self.receipts, probes=self.probes, now=now
        )
        for seed in partners:
            datagrams = datagrams or self.encode(base)
            self.probes.send(seed.instance, now=now)
            self.send_all(datagrams, seed)

    def encode(
        self,
        base,
        *,
        in_flight=(),
        remotes=(),
        reports=(),
        batch_streams=(),
    ):
        whole = Heartbeat(
            sender=base.sender,
            in_flight=in_flight,
            leaving_upstreams=base.leaving_upstreams,
            cancelled_jobs=base.cancelled_jobs,
            remotes=remotes,
            reports=reports,
            batch_streams=batch_streams,
        )
        return [
            self.datagrams.encode(build_heartbeat(part))
            for part in split_heartbeat(whole)
        ]

    def send_all(self, datagrams, seed):
        for datagram in datagrams:
            self.datagrams.send(
                datagram, address=seed.address, port=seed.peer_port
            )

    def list_remotes(self, *, now):
        """List the daemons of other data centres that are heard here."""
        members = self.runtime.members.members
        return [
            build_remote(members[name])
            for name in self.receipts.list_partners(now=now)
            if name in members
        ]

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
        notice = self.notice
        if notice is None or not notice.active():
            self.notice = self.runtime.reactor.callLater(
                seconds, self.send_notices
            )
        elif notice.getTime() > self.runtime.reactor.seconds() + seconds:
            notice.reset(seconds)

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
        self.sequence += 1
        for load in loads:
            self.told.note(seed.instance, load.upstream)
        notice = Notice(
            instance=self.runtime.settings.instance,
            incarnation=self.runtime.incarnation,
            sequence=self.sequence,
            in_flight=loads,
            is_answered=bool(asked),
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
