"""Processing of received heartbeats and notices."""

import time

from hollyspan_core.messages import read_heartbeat
from hollyspan_core.messages import read_notice
from hollyspan_core.messages import read_notice_answer

from ..upstreams import PeerLoad
from .states import build_member

__all__ = ["MessageReceiver"]

MAX_MISSED_HEARTBEATS = 3


class MessageReceiver:
    """Applies the messages of other daemons to the runtime.

    Parameters
    ----------
    runtime : Runtime
    probes : Probes
    remote_timeout : float
        Seconds of silence after which a daemon of another data centre counts
        as failed.

    Attributes
    ----------
    interval : float
        Heartbeat interval of the daemons of the data centre, in seconds.
    last_versions : dict
        Incarnation and sequence number of the last message, by instance.
    unreachable : set of str
        Names of the upstreams that their owners report as unreachable.
    partners_last_seen : dict
        Time of the last heartbeat from each daemon of another data centre,
        in monotonic seconds, by instance.
    notice_listeners : list of callable
        Called with each notice whose sender waits for an answer.
    restart_listeners : list of callable
        Called with the instance of a restarted daemon and the incarnation
        of its previous process.
    answer_listeners : list of callable
        Called with each NoticeAnswer.
    """

    __slots__ = (
        "runtime",
        "probes",
        "remote_timeout",
        "interval",
        "last_versions",
        "partners_last_seen",
        "unreachable",
        "notice_listeners",
        "answer_listeners",
        "restart_listeners",
    )

    def __init__(self, *, runtime, probes, remote_timeout):
        self.runtime = runtime
        self.probes = probes
        self.remote_timeout = remote_timeout
        self.interval = runtime.settings.timing.heartbeat
        self.last_versions = {}
        self.partners_last_seen = {}
        self.unreachable = set()
        self.notice_listeners = []
        self.answer_listeners = []
        self.restart_listeners = []

    def receive(self, message):
        """Process a message; ignore unknown kinds.

        Parameters
        ----------
        message : PeerMessage reader

        Raises
        ------
        PeerMessageError
            The message is damaged.
        """
        kind = message.which()
        if kind == "heartbeat":
            self.handle_heartbeat(read_heartbeat(message))
        elif kind == "notice":
            self.handle_notice(read_notice(message))
        elif kind == "noticeAnswer":
            answer = read_notice_answer(message)
            for listener in self.answer_listeners:
                listener(answer)

    def handle_heartbeat(self, heartbeat):
        """Apply a heartbeat to the runtime."""
        sender = heartbeat.sender
        settings = self.runtime.settings
        if sender.instance == settings.instance:
            return
        now = time.monotonic()
        self.probes.record_received(sender.instance)
        if sender.data_centre != settings.data_centre:
            self.partners_last_seen[sender.instance] = now
        self.observe(sender, now=now)
        version = sender.incarnation, sender.sequence
        self.apply_loads(sender.instance, version, heartbeat.in_flight)
        self.apply_batch_streams(sender, heartbeat.batch_streams)
        for remote in heartbeat.remotes:
            if remote.data_centre != settings.data_centre:
                self.observe(remote, now=now)
        self.apply_names(heartbeat, now=now)
        self.apply_reports(sender.instance, heartbeat.reports, now=now)

    def observe(self, remote, *, now):
        """Record the state of a daemon in the member table."""
        is_local = remote.data_centre == self.runtime.settings.data_centre
        timeout = self.get_local_timeout() if is_local else self.remote_timeout
        self.runtime.members.observe(
            build_member(remote, last_seen=now, timeout=timeout)
        )

    def get_local_timeout(self):
        """Return the timeout, in seconds, for daemons of the data centre."""
        timeout = self.runtime.settings.timing.peer_timeout
        return max(timeout, MAX_MISSED_HEARTBEATS * self.interval)

    def apply_names(self, heartbeat, *, now):
        """Apply announcements of leaving upstreams and cancelled jobs."""
        runtime = self.runtime
        for name in heartbeat.leaving_upstreams:
            if runtime.departures.announce(name, now=now):
                runtime.upstreams.mark_leaving(name)
        for job in heartbeat.cancelled_jobs:
            runtime.cancelled_jobs.announce(job, now=now)

    def apply_reports(self, instance, reports, *, now):
        """Apply the load reports that the owner of upstreams has polled."""
        for report in reports:
            upstream = self.runtime.upstreams.by_name.get(report.upstream)
            if upstream is None:
                continue
            if self.runtime.owners.find(upstream) != instance:
                continue
            upstream.observe_report(
                waiting=report.waiting, running=report.running, now=now
            )
            self.apply_reachability(upstream, report)

    def apply_reachability(self, upstream, report):
        """Mark an upstream unreachable once per failure its owner reports.

        This daemon's own polls detect when the upstream is reachable again,
        so a link that is broken only for the owner does not keep other
        daemons from using the upstream.
        """
        if report.reachable:
            self.unreachable.discard(upstream.name)
        elif upstream.name not in self.unreachable:
            self.unreachable.add(upstream.name)
            upstream.reachable = False

    def handle_notice(self, notice):
        """Apply a notice to the runtime."""
        if notice.instance == self.runtime.settings.instance:
            return
        version = notice.incarnation, notice.sequence
        self.apply_loads(notice.instance, version, notice.in_flight)
        if notice.wants_answer:
            # Answer only after the listeners of the loads have acted on them.
            for listener in self.notice_listeners:
                listener(notice)

    def apply_batch_streams(self, sender, batch_streams):
        """Record which batch streams a daemon runs."""
        for entry in batch_streams:
            upstream = self.runtime.upstreams.by_name.get(entry.upstream)
            if upstream is not None:
                upstream.update_peer_streams(
                    sender.instance,
                    incarnation=sender.incarnation,
                    highest=entry.highest,
                    running=entry.running,
                )

    def apply_loads(self, instance, version, loads):
        """Apply the loads of one daemon unless the message is outdated."""
        known = self.last_versions.get(instance, version)
        if version < known:
            return
        if version[0] > known[0]:
            self.drop_loads(instance)
            for listener in self.restart_listeners:
                listener(instance, known[0])
        self.last_versions[instance] = version
        for load in loads:
            self.apply_load(instance, version[1], load)

    def apply_load(self, instance, sequence, load):
        upstream = self.runtime.upstreams.by_name.get(load.upstream)
        if upstream is None:
            return
        known = upstream.peers.get(instance)
        online = known.online if known else 0
        batch = known.batch if known else 0
        if (online, batch) == (load.online, load.batch):
            return
        new_load = None
        if load.online or load.batch:
            new_load = PeerLoad(
                online=load.online, batch=load.batch, sequence=sequence
            )
        self.runtime.upstreams.set_peer_load(upstream, instance, new_load)

    def drop_loads(self, instance):
        """Remove the load of a daemon from all upstreams."""
        upstreams = self.runtime.upstreams
        for upstream in list(upstreams.by_name.values()):
            if instance in upstream.peers:
                upstreams.set_peer_load(upstream, instance, None)

    def drop_failed_loads(self, *, now):
        """Remove the load of daemons that have failed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        members = self.runtime.members.list_live(now=now, leaving=True)
        live = {member.instance for member in members}
        loaded = {
            instance
            for upstream in self.runtime.upstreams.by_name.values()
            for instance in upstream.peers
        }
        for instance in loaded - live:
            self.drop_loads(instance)

    def list_partners(self, *, now):
        """List the daemons of other data centres that send heartbeats here.

        Daemons that were silent for longer than `remote_timeout` are dropped.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
        """
        self.partners_last_seen = {
            instance: last_seen
            for instance, last_seen in self.partners_last_seen.items()
            if now - last_seen <= self.remote_timeout
        }
        return list(self.partners_last_seen)

    def forget(self, instances):
        """Drop the last message versions of removed daemons.

        Parameters
        ----------
        instances : iterable of str
        """
        for instance in instances:
            self.last_versions.pop(instance, None)
