"""Sending of heartbeats."""

import time

from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import Heartbeat

from .answers import Answers
from .answers import list_own
from .batchstreams import ToldStreams
from .count import MessageCount
from .interval import choose_interval
from .loads import list_loads
from .loads import list_reports
from .notices import Notices
from .split import split_heartbeat
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
FORGET_SECONDS = 600.0


class Beats:
    """Heartbeats of this daemon.

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
        "count",
        "notices",
        "turns",
        "soon",
    )

    def __init__(self, *, runtime, datagrams, receipts, probes):
        self.runtime = runtime
        self.datagrams = datagrams
        self.receipts = receipts
        self.probes = probes
        self.told = ToldLoads()
        self.told_streams = ToldStreams()
        self.answers = Answers(runtime=runtime, datagrams=datagrams)
        self.count = MessageCount()
        self.notices = Notices(
            runtime=runtime,
            datagrams=datagrams,
            answers=self.answers,
            told=self.told,
            count=self.count,
        )
        self.turns = 0
        self.soon = None

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
        self.cancel_soon()
        self.send_beats(far=True)

    def cancel_soon(self):
        """Forget the heartbeat that is due outside the interval."""
        if self.soon is not None and self.soon.active():
            self.soon.cancel()
        self.soon = None

    def stop(self):
        """Forget the heartbeat and the notices that are due soon."""
        self.cancel_soon()
        self.notices.stop()

    def send_beats(self, *, far):
        """Send heartbeats to the own data centre, and to others if asked."""
        now = time.monotonic()
        sender = describe_self(self.runtime, sequence=self.count.take())
        self.runtime.members.observe(
            build_member(sender, last_seen=now, timeout=None)
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
            self.probes.record_sent(seed.instance, now=now)
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
