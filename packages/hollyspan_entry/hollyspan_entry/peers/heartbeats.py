"""Sending of heartbeats to other daemons."""

import time

from hollyspan_core.messages import build_heartbeat
from hollyspan_core.messages import Heartbeat

from .batch_streams import BatchStreamReports
from .interval import choose_interval
from .loads import list_loads
from .loads import list_reports
from .message_sequence import MessageSequence
from .notice_answers import list_local_upstreams
from .notice_answers import NoticeAnswers
from .notices import Notices
from .recipients import list_local_daemons
from .recipients import list_partners
from .sent_loads import SentLoads
from .split import split_heartbeat
from .states import build_daemon_state
from .states import build_member
from .states import describe_self

__all__ = ["Heartbeats", "REMOTE_HEARTBEAT_PERIOD"]

# Heartbeats to other data centres, and the states received from them, are
# sent with every fourth heartbeat.
REMOTE_HEARTBEAT_PERIOD = 4
COALESCING_DELAY_S = 0.05
# Time for which silent members and cancelled jobs are kept.
RETENTION_S = 600.0


class Heartbeats:
    """Sender of the heartbeats of this daemon.

    Parameters
    ----------
    runtime : Runtime
    datagrams : Datagrams
    receiver : MessageReceiver
    probes : Probes
    """

    __slots__ = (
        "runtime",
        "datagrams",
        "receiver",
        "probes",
        "sent_loads",
        "stream_reports",
        "notice_answers",
        "message_sequence",
        "notices",
        "rounds",
        "pending_call",
    )

    def __init__(self, *, runtime, datagrams, receiver, probes):
        self.runtime = runtime
        self.datagrams = datagrams
        self.receiver = receiver
        self.probes = probes
        self.sent_loads = SentLoads()
        self.stream_reports = BatchStreamReports()
        self.notice_answers = NoticeAnswers(
            runtime=runtime, datagrams=datagrams
        )
        self.message_sequence = MessageSequence()
        self.notices = Notices(
            runtime=runtime,
            datagrams=datagrams,
            notice_answers=self.notice_answers,
            sent_loads=self.sent_loads,
            message_sequence=self.message_sequence,
        )
        self.rounds = 0
        self.pending_call = None

    async def send_due(self):
        """Send the heartbeats that are due.

        Returns
        -------
        float
            Seconds until the next heartbeats.
        """
        self.send_heartbeats(
            to_remote=self.rounds % REMOTE_HEARTBEAT_PERIOD == 0
        )
        self.rounds += 1
        return self.receiver.interval

    def send_soon(self, *details):
        """Send heartbeats to all peers soon, outside the interval.

        Calls within the coalescing delay lead to one heartbeat.

        Parameters
        ----------
        *details : object
            Ignored, so that this method can be used as a listener.
        """
        if self.pending_call is None:
            self.pending_call = self.runtime.reactor.callLater(
                COALESCING_DELAY_S, self.send_now
            )

    def send_now(self):
        """Send heartbeats to all peers now."""
        self.cancel_pending()
        self.send_heartbeats(to_remote=True)

    def cancel_pending(self):
        """Cancel the scheduled heartbeat outside the interval."""
        if self.pending_call is not None and self.pending_call.active():
            self.pending_call.cancel()
        self.pending_call = None

    def stop(self):
        """Cancel scheduled heartbeats and notices."""
        self.cancel_pending()
        self.notices.stop()

    def send_heartbeats(self, *, to_remote):
        """Send heartbeats within the data centre and optionally to others."""
        now = time.monotonic()
        sender = describe_self(
            self.runtime, sequence=self.message_sequence.advance()
        )
        self.runtime.members.observe(
            build_member(sender, last_seen=now, timeout=None)
        )
        self.forget_failed(now=now)
        self.runtime.owners.refresh()
        base = self.build_base(sender, now=now)
        self.send_local(base, to_remote=to_remote, now=now)
        if to_remote:
            self.send_remote(base, now=now)

    def forget_failed(self, *, now):
        self.receiver.drop_failed_loads(now=now)
        forgotten = self.runtime.members.forget(before=now - RETENTION_S)
        self.receiver.forget(forgotten)
        self.runtime.cancelled_jobs.forget(before=now - RETENTION_S)

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

    def send_local(self, base, *, to_remote, now):
        remotes = self.list_remotes(now=now) if to_remote else ()
        loads = list_loads(self.runtime)
        local_daemons = list_local_daemons(self.runtime, now=now)
        self.receiver.interval = choose_interval(
            self.runtime.settings.timing, peer_count=len(local_daemons)
        )
        local_fields = {
            "remotes": remotes,
            "reports": base.reports,
            "batch_streams": self.stream_reports.list(
                list_local_upstreams(self.runtime)
            ),
        }
        without_loads = self.encode(base, **local_fields)
        for seed in local_daemons:
            in_flight = self.sent_loads.add_zeros(seed.instance, loads)
            datagrams = without_loads
            if in_flight:
                datagrams = self.encode(
                    base, in_flight=in_flight, **local_fields
                )
            self.send_all(datagrams, seed)

    def send_remote(self, base, *, now):
        datagrams = None
        partners = list_partners(
            self.runtime, receiver=self.receiver, probes=self.probes, now=now
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
        """List daemons of other data centres that send heartbeats here."""
        members = self.runtime.members.members
        return [
            build_daemon_state(members[name])
            for name in self.receiver.list_partners(now=now)
            if name in members
        ]
