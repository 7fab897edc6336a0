"""Answers to load notices and handling of unanswered ones."""

from hollyspan_core.messages import build_notice_answer
from hollyspan_core.messages import NoticeAnswer
from hollyspan_policy.ownership import rank_owners

from ..streams import cancel_peer_batch_streams
from .pending_notices import PendingNotices

__all__ = ["NoticeAnswers", "list_local_upstreams"]

# Number of daemons that cancel the batch streams of a restarted daemon.
CANCELLING_DAEMONS = 2


class NoticeAnswers:
    """Answers load notices and cancels the batch streams of silent owners.

    Parameters
    ----------
    runtime : Runtime
    datagrams : Datagrams

    Attributes
    ----------
    pending_notices : PendingNotices
        Notices sent by this daemon that are not answered yet.
    deferred : set of (str, str)
        Owners and their upstreams for which another round of cancellations
        is due soon.
    """

    __slots__ = ("runtime", "datagrams", "pending_notices", "deferred")

    def __init__(self, *, runtime, datagrams):
        self.runtime = runtime
        self.datagrams = datagrams
        self.pending_notices = PendingNotices(
            reactor=runtime.reactor,
            on_timeout=self.cancel_streams_of_silent_owner,
        )
        self.deferred = set()

    def send_to(self, instance, datagram):
        """Send a datagram to a daemon of the same data centre.

        Parameters
        ----------
        instance : str
        datagram : bytes
        """
        member = self.runtime.members.members.get(instance)
        seed = self.runtime.seeds.get(instance)
        if member is None and seed is None:
            return
        self.datagrams.send(
            datagram,
            address=seed.address if seed else member.address,
            port=seed.peer_port if seed else member.peer_port,
        )

    def answer_notice(self, notice):
        """Confirm to the sender of a notice that it was received.

        Parameters
        ----------
        notice : Notice
        """
        answer = NoticeAnswer(
            instance=self.runtime.settings.instance,
            incarnation=notice.incarnation,
            sequence=notice.sequence,
        )
        datagram = self.datagrams.encode(build_notice_answer(answer))
        self.send_to(notice.instance, datagram)

    def handle_answer(self, answer):
        """Process the answer to a notice.

        Parameters
        ----------
        answer : NoticeAnswer
        """
        if answer.incarnation == self.runtime.incarnation:
            self.pending_notices.confirm(
                answer.instance, sequence=answer.sequence
            )

    def cancel_streams_after_restart(self, instance, incarnation):
        """Cancel the batch streams of the previous process of a daemon.

        Parameters
        ----------
        instance : str
        incarnation : int
            Incarnation of the previous process.
        """
        own = self.runtime.settings.instance
        others = self.runtime.owners.live - {instance}
        for upstream in list_local_upstreams(self.runtime):
            reported = upstream.peer_streams.get(instance)
            if not reported and self.runtime.owners.find(upstream) != instance:
                continue
            if not reported:
                upstream.update_peer_streams(
                    instance, incarnation=incarnation, highest=0, running=()
                )
            # Several daemons cancel, since the first one may not have received
            # the list of the streams.
            if own in rank_owners(upstream.name, others)[:CANCELLING_DAEMONS]:
                cancel_peer_batch_streams(
                    self.runtime, upstream=upstream, instance=instance
                )
            del upstream.peer_streams[instance]

    def cancel_streams_of_silent_owner(self, owner, upstream):
        """Cancel a silent owner's batch streams if there is online load."""
        if not upstream.online:
            return
        remaining = cancel_peer_batch_streams(
            self.runtime, upstream=upstream, instance=owner
        )
        key = owner, upstream.name
        if remaining and key not in self.deferred:
            # The owner may have started streams since the last round.
            self.deferred.add(key)
            self.runtime.reactor.callLater(
                remaining, self.cancel_deferred, owner, upstream
            )

    def cancel_deferred(self, owner, upstream):
        self.deferred.discard((owner, upstream.name))
        self.cancel_streams_of_silent_owner(owner, upstream)


def list_local_upstreams(runtime):
    """List the upstreams of this daemon's data centre.

    Parameters
    ----------
    runtime : Runtime

    Returns
    -------
    list of Upstream
    """
    data_centre = runtime.settings.data_centre
    return [
        upstream
        for upstream in runtime.upstreams.by_name.values()
        if upstream.data_centre == data_centre
    ]
