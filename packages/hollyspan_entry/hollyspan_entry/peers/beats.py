"""Sending of heartbeats and notices."""

import time

from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import build_notice
from hollyspan_core.messages import Heartbeat
from hollyspan_core.messages import InFlight
from hollyspan_core.messages import Notice
from hollyspan_core.messages import Report

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
FULL_RATE_DAEMONS = 8
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
        "sequence",
        "turns",
        "soon",
        "online",
        "risen",
    )

    def __init__(self, *, runtime, datagrams, receipts, probes):
        self.runtime = runtime
        self.datagrams = datagrams
        self.receipts = receipts
        self.probes = probes
        self.told = ToldLoads()
        self.sequence = 0
        self.turns = 0
        self.soon = None
        self.online = {}
        self.risen = {}

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
        """Forget the heartbeat that is due soon."""
        if self.soon is not None and self.soon.active():
            self.soon.cancel()
        self.soon = None

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
        loads = self.list_loads()
        near = list_near(self.runtime, now=now)
        self.receipts.interval = choose_interval(
            self.runtime.settings.timing, near=len(near)
        )
        more = {"remotes": remotes, "reports": base.reports}
        plain = self.encode(base, **more)
        for seed in near:
            told = self.told.complete(
                seed.instance, loads.get(seed.instance, [])
            )
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

    def encode(self, base, *, in_flight=(), remotes=(), reports=()):
        whole = Heartbeat(
            sender=base.sender,
            in_flight=in_flight,
            leaving_upstreams=base.leaving_upstreams,
            cancelled_jobs=base.cancelled_jobs,
            remotes=remotes,
            reports=reports,
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

    def list_loads(self):
        """List the own loads above zero by owner of the upstream."""
        loads = {}
        for upstream in self.runtime.upstreams.by_name.values():
            if upstream.online or upstream.batch:
                owner = self.runtime.owners.find(upstream)
                loads.setdefault(owner, []).append(describe_load(upstream))
        return loads

    def hear_load(self, upstream):
        """Prepare a notice when the own online load has risen.

        Parameters
        ----------
        upstream : Upstream
        """
        before = self.online.get(upstream.name, 0)
        if upstream.online == before:
            return
        self.online[upstream.name] = upstream.online
        if upstream.online < before:
            return
        if not self.risen:
            # One notice for all that arrives within a turn of the loop.
            self.runtime.reactor.callLater(0, self.send_notices)
        self.risen[upstream.name] = upstream

    def send_notices(self):
        """Tell the owners of the loads that have risen."""
        risen, self.risen = self.risen, {}
        by_owner = {}
        for upstream in risen.values():
            owner = self.runtime.owners.find(upstream)
            by_owner.setdefault(owner, []).append(upstream)
        for owner, upstreams in by_owner.items():
            self.send_notice(owner, upstreams)

    def send_notice(self, owner, upstreams):
        member = self.runtime.members.members.get(owner)
        own = self.runtime.settings.instance
        if member is None or owner == own:
            return
        self.sequence += 1
        for upstream in upstreams:
            self.told.note(owner, upstream.name)
        notice = Notice(
            instance=own,
            incarnation=self.runtime.incarnation,
            sequence=self.sequence,
            in_flight=[describe_load(upstream) for upstream in upstreams],
        )
        seed = self.runtime.seeds.get(owner)
        self.datagrams.send(
            self.datagrams.encode(build_notice(notice)),
            address=seed.address if seed else member.address,
            port=seed.peer_port if seed else member.peer_port,
        )


def choose_interval(timing, *, near):
    """Return the seconds between heartbeats.

    Parameters
    ----------
    timing : Timing
    near : int
        Other daemons of the data centre.

    Returns
    -------
    float

    Notes
    -----
    Each daemon hears all others, so that the interval grows with their
    number to keep the traffic bounded. Bursts do not wait for it.
    """
    return timing.heartbeat * max(1.0, near / FULL_RATE_DAEMONS)


def list_reports(runtime):
    """List the reports of the upstreams that this daemon owns."""
    return [
        Report(
            upstream=upstream.name,
            waiting=upstream.waiting,
            running=upstream.running,
            reachable=upstream.reachable,
        )
        for upstream in runtime.upstreams.by_name.values()
        if runtime.owners.find(upstream) == runtime.settings.instance
        and (upstream.reported is not None or not upstream.reachable)
    ]


def describe_load(upstream):
    return InFlight(
        upstream=upstream.name, online=upstream.online, batch=upstream.batch
    )
