"""Taking in of heartbeats and notices."""

import time

from hollyspan_core.messages import read_heartbeat
from hollyspan_core.messages import read_notice
from hollyspan_core.messages import read_notice_answer

from ..upstreams import PeerLoad
from .states import build_member

__all__ = ["Receipts"]

MISSED_BEATS = 3


class Receipts:
    """Takes the messages of other daemons over into the runtime.

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
        Seconds between the heartbeats of a daemon of the data centre.
    orders : dict
        Incarnation and sequence of the last message by instance.
    failed : set of str
        Upstreams that their owners report as unreachable.
    partners : dict
        Monotonic seconds at which a daemon of another data centre was
        heard, by instance.
    notice_listeners : list of callable
        Called with each notice that waits for an answer.
    restart_listeners : list of callable
        Called with a daemon that was restarted and the incarnation of its
        former process.
    answer_listeners : list of callable
        Called with each NoticeAnswer.
    """

    __slots__ = (
        "runtime",
        "probes",
        "remote_timeout",
        "interval",
        "orders",
        "partners",
        "failed",
        "notice_listeners",
        "answer_listeners",
        "restart_listeners",
    )

    def __init__(self, *, runtime, probes, remote_timeout):
        self.runtime = runtime
        self.probes = probes
        self.remote_timeout = remote_timeout
        self.interval = runtime.settings.timing.heartbeat
        self.orders = {}
        self.partners = {}
        self.failed = set()
        self.notice_listeners = []
        self.answer_listeners = []
        self.restart_listeners = []

    def receive(self, message):
        """Take in a message; other kinds are passed over.

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
            self.take_heartbeat(read_heartbeat(message))
        elif kind == "notice":
            self.take_notice(read_notice(message))
        elif kind == "noticeAnswer":
            answer = read_notice_answer(message)
            for listener in self.answer_listeners:
                listener(answer)

    def take_heartbeat(self, heartbeat):
        """Take in a heartbeat."""
        sender = heartbeat.sender
        settings = self.runtime.settings
        if sender.instance == settings.instance:
            return
        now = time.monotonic()
        self.probes.record_received(sender.instance)
        if sender.data_centre != settings.data_centre:
            self.partners[sender.instance] = now
        self.observe(sender, now=now)
        order = sender.incarnation, sender.sequence
        self.take_loads(sender.instance, order, heartbeat.in_flight)
        self.take_streams(sender, heartbeat.batch_streams)
        for remote in heartbeat.remotes:
            if remote.data_centre != settings.data_centre:
                self.observe(remote, now=now)
        self.take_names(heartbeat, now=now)
        self.take_reports(sender.instance, heartbeat.reports, now=now)

    def observe(self, remote, *, now):
        """Note the state of a daemon in the member table."""
        is_near = remote.data_centre == self.runtime.settings.data_centre
        timeout = self.get_near_timeout() if is_near else self.remote_timeout
        self.runtime.members.observe(
            build_member(remote, last_seen=now, timeout=timeout)
        )

    def get_near_timeout(self):
        """Return the seconds of silence that a near daemon may have."""
        timeout = self.runtime.settings.timing.peer_timeout
        return max(timeout, MISSED_BEATS * self.interval)

    def take_names(self, heartbeat, *, now):
        """Take in the names that are passed on."""
        runtime = self.runtime
        for name in heartbeat.leaving_upstreams:
            if runtime.departures.announce(name, now=now):
                runtime.upstreams.mark_leaving(name)
        for job in heartbeat.cancelled_jobs:
            runtime.cancelled_jobs.announce(job, now=now)

    def take_reports(self, instance, reports, *, now):
        """Take in what the owner of upstreams has polled."""
        for report in reports:
            upstream = self.runtime.upstreams.by_name.get(report.upstream)
            if upstream is None:
                continue
            if self.runtime.owners.find(upstream) != instance:
                continue
            upstream.observe_report(
                waiting=report.waiting, running=report.running, now=now
            )
            self.take_reachable(upstream, report)

    def take_reachable(self, upstream, report):
        """Believe the owner once that an upstream does not answer.

        Own polls find out when it is back, so that a link that is broken
        for the owner alone keeps no other daemon from the upstream.
        """
        if report.reachable:
            self.failed.discard(upstream.name)
        elif upstream.name not in self.failed:
            self.failed.add(upstream.name)
            upstream.reachable = False

    def take_notice(self, notice):
        """Take in a notice."""
        if notice.instance == self.runtime.settings.instance:
            return
        order = notice.incarnation, notice.sequence
        self.take_loads(notice.instance, order, notice.in_flight)
        if notice.wants_answer:
            # What the loads ask for was done by their listeners.
            for listener in self.notice_listeners:
                listener(notice)

    def take_streams(self, sender, batch_streams):
        """Take in which batch streams a daemon runs."""
        for entry in batch_streams:
            upstream = self.runtime.upstreams.by_name.get(entry.upstream)
            if upstream is not None:
                upstream.update_peer_streams(
                    sender.instance,
                    incarnation=sender.incarnation,
                    highest=entry.highest,
                    running=entry.running,
                )

    def take_loads(self, instance, order, loads):
        """Take in the loads of one daemon, unless newer ones are known."""
        known = self.orders.get(instance, order)
        if order < known:
            return
        if order[0] > known[0]:
            self.drop_loads(instance)
            for listener in self.restart_listeners:
                listener(instance, known[0])
        self.orders[instance] = order
        for load in loads:
            self.take_load(instance, order[1], load)

    def take_load(self, instance, sequence, load):
        upstream = self.runtime.upstreams.by_name.get(load.upstream)
        if upstream is None:
            return
        known = upstream.peers.get(instance)
        online = known.online if known else 0
        batch = known.batch if known else 0
        if (online, batch) == (load.online, load.batch):
            return
        fresh = None
        if load.online or load.batch:
            fresh = PeerLoad(
                online=load.online, batch=load.batch, sequence=sequence
            )
        self.runtime.upstreams.set_peer_load(upstream, instance, fresh)

    def drop_loads(self, instance):
        """Forget the load of a daemon on all upstreams."""
        upstreams = self.runtime.upstreams
        for upstream in list(upstreams.by_name.values()):
            if instance in upstream.peers:
                upstreams.set_peer_load(upstream, instance, None)

    def drop_silent(self, *, now):
        """Forget the load of daemons that have failed.

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
        """List the daemons of other data centres that speak with this one.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
        """
        self.partners = {
            instance: last_seen
            for instance, last_seen in self.partners.items()
            if now - last_seen <= self.remote_timeout
        }
        return list(self.partners)

    def forget(self, instances):
        """Drop what is kept of daemons that are gone.

        Parameters
        ----------
        instances : iterable of str
        """
        for instance in instances:
            self.orders.pop(instance, None)
