"""Knowledge of the software versions that have begun streams."""

import eliot

from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.streams import choose_keepers
from hollyspan_policy.streams import choose_respondents

from .notice import StreamNotice
from .question import Question

__all__ = ["StreamVersions", "hash_stream"]

# Time for which a stream is remembered, longer than any client waits for one.
RECORD_TTL_S = 120.0
# Limit on the memory; the oldest streams are forgotten.
MAX_RECORDS = 8192
# Time after which a question is repeated, above a round trip between regions,
# and the number of times it is asked.
ANSWER_TIMEOUT_S = 0.08
MAX_QUESTIONS = 3


class StreamVersions:
    """Tells, keeps and asks which software version began a stream.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    records : dict
        (version, time) by the stream's hash, the oldest first.
    questions : dict
        Question by the stream's hash.

    Notes
    -----
    What two versions write does not fit together, so a stream goes on at the
    version that began it or not at all. The gateway that forwards its first
    event tells a few others, the stream's keepers. A gateway to which a client
    comes back asks them. If none answers that it knows the stream, the version
    cannot be learned.
    """

    __slots__ = ("gateway", "records", "questions")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.records = {}
        self.questions = {}

    def begin(self, identifier, version):
        """Note the version of a stream that begins here and tell its keepers.

        Parameters
        ----------
        identifier : str
            Of the request that began the stream.
        version : int
            Key of the version.
        """
        stream = hash_stream(identifier)
        self.note(stream, version)
        peers = {
            peer.identifier: peer
            for peer in self.gateway.peers.list_live()
            if not peer.is_leaving
        }
        self.send(
            [peers[keeper] for keeper in choose_keepers(stream, peers)],
            streams=[StreamNotice(stream=stream, version=version)],
        )

    def note(self, stream, version):
        """Remember the version of a stream."""
        now = self.gateway.reactor.seconds()
        self.records.pop(stream, None)
        self.records[stream] = (version, now)
        while len(self.records) > MAX_RECORDS or self.is_oldest_expired(now):
            del self.records[next(iter(self.records))]

    def is_oldest_expired(self, now):
        _, noted_at = next(iter(self.records.values()))
        return now - noted_at > RECORD_TTL_S

    def find_known(self, stream):
        """Return the version of a stream that is known here, or None."""
        version, _ = self.records.get(stream, (None, 0.0))
        return version

    async def find(self, identifier):
        """Find the version that began a stream.

        Parameters
        ----------
        identifier : str
            Of the request that began the stream.

        Returns
        -------
        int or None
            Key of the version; None if neither this gateway nor one that
            answers knows it.
        """
        stream = hash_stream(identifier)
        version = self.find_known(stream)
        if version is not None:
            return version
        if stream in self.questions:
            return await self.questions[stream].wait()
        live = [peer.identifier for peer in self.gateway.peers.list_live()]
        respondents = choose_respondents(stream, live)
        if not respondents:
            return None
        question = self.questions[stream] = Question(pending=set(respondents))
        answer = question.wait()
        self.send_question(stream, question, remaining=MAX_QUESTIONS)
        return await answer

    def send_question(self, stream, question, *, remaining):
        question.call = None
        if remaining == 0:
            self.end_question(stream, question, None)
            return
        question.call = self.gateway.reactor.callLater(
            ANSWER_TIMEOUT_S,
            self.send_question,
            stream,
            question,
            remaining=remaining - 1,
        )
        peers = self.gateway.peers.list_live()
        self.send(
            [peer for peer in peers if peer.identifier in question.pending],
            asked_streams=[stream],
        )

    def end_question(self, stream, question, version):
        if self.questions.get(stream) is not question:
            return
        del self.questions[stream]
        if version is None:
            eliot.log_message(
                "stream:unknown",
                stream=f"{stream:016x}",
                unanswered=len(question.pending),
            )
        question.end(version)

    def apply(self, peer, message):
        """Apply what a peer tells of streams, and answer what it asks.

        Notes
        -----
        Neither depends on the order of messages.
        """
        for notice in message.streams:
            self.apply_notice(peer, notice)
        if message.asked_streams:
            self.send(
                [peer],
                streams=[
                    StreamNotice(
                        stream=stream, version=self.find_known(stream) or 0
                    )
                    for stream in message.asked_streams
                ],
            )

    def apply_notice(self, peer, notice):
        question = self.questions.get(notice.stream)
        if notice.version:
            self.note(notice.stream, notice.version)
            if question is not None:
                self.end_question(notice.stream, question, notice.version)
        elif question is not None:
            question.pending.discard(peer.identifier)
            if not question.pending:
                self.end_question(notice.stream, question, None)

    def send(self, peers, **fields):
        if not peers:
            return
        table = self.gateway.peers
        message = table.build_message(loads=[], is_full=False, **fields)
        table.send(peers, message)


def hash_stream(identifier):
    """Return the hash of the identifier of the request that began a stream."""
    return hash_parts("stream", identifier)
