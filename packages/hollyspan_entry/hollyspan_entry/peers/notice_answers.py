"""Answers to notices, and what is done when there is none."""

from hollyspan_core.messages import build_notice_answer
from hollyspan_core.messages import NoticeAnswer
from hollyspan_policy.ownership import rank_owners

from ..streams import cancel_peer_batch_streams
from .questions import Questions

__all__ = ["Answers", "list_own"]

# Daemons that cancel the streams of a restarted one.
FREEING_DAEMONS = 2


class Answers:
    """Answers notices and frees the streams of owners that do not.

    Parameters
    ----------
    runtime : Runtime
    datagrams : Datagrams

    Attributes
    ----------
    questions : Questions
        Own notices without an answer yet.
    """

    __slots__ = ("runtime", "datagrams", "questions")

    def __init__(self, *, runtime, datagrams):
        self.runtime = runtime
        self.datagrams = datagrams
        self.questions = Questions(
            reactor=runtime.reactor, on_silent=self.free_silent
        )

    def send_to(self, instance, datagram):
        """Send a datagram to a daemon of the own data centre.

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
        """Tell the sender of a notice that it was taken in.

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

    def take_answer(self, answer):
        """Take in the answer to a notice.

        Parameters
        ----------
        answer : NoticeAnswer
        """
        if answer.incarnation == self.runtime.incarnation:
            self.questions.take_answer(
                answer.instance, sequence=answer.sequence
            )

    def free_restarted(self, instance, incarnation):
        """Free what the former process of a daemon runs.

        Parameters
        ----------
        instance : str
        incarnation : int
            Of the former process.
        """
        own = self.runtime.settings.instance
        others = self.runtime.owners.live - {instance}
        for upstream in list_own(self.runtime):
            told = upstream.peer_streams.get(instance)
            if not told and self.runtime.owners.find(upstream) != instance:
                continue
            if not told:
                upstream.update_peer_streams(
                    instance, incarnation=incarnation, highest=0, running=()
                )
            # The first may not have heard of the streams.
            if own in rank_owners(upstream.name, others)[:FREEING_DAEMONS]:
                cancel_peer_batch_streams(
                    self.runtime, upstream=upstream, instance=instance
                )
            del upstream.peer_streams[instance]

    def free_silent(self, owner, upstream):
        """Free what a silent owner runs where online work has come."""
        if upstream.online:
            cancel_peer_batch_streams(
                self.runtime, upstream=upstream, instance=owner
            )


def list_own(runtime):
    """List the upstreams of the own data centre.

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
