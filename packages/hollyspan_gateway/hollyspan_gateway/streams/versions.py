"""Knowledge of the software versions that have begun streams."""

import math

import eliot

from hollyspan_policy.hashing import format_hash
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.streams import choose_keepers
from hollyspan_policy.streams import choose_respondents
from hollyspan_policy.streams import may_miss_streams

from .finding import Finding
from .notice import AMBIGUOUS_VERSION
from .notice import StreamNotice
from .question import Question
from .records import VersionRecords
from .search import VersionSearch

__all__ = ["StreamVersions"]

# Time for which a stream is remembered, longer than any client waits for one.
RECORD_TTL_S = 120.0
# Limit on the memory; the oldest streams are forgotten.
MAX_RECORDS = 16384
# Time after which a question is repeated, above a round trip between regions,
# and the number of times it is asked.
ANSWER_TIMEOUT_S = 0.08
MAX_QUESTIONS = 2


class StreamVersions:
    """Tells, keeps and asks which software version began a stream.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    records : dict
        (version, time) by the stream's key, the oldest first.
    questions : dict
        Question by the stream's key.
    version_records : VersionRecords
    search : VersionSearch
        For the streams that no gateway remembers.
    remembered_since : float or None
        Time before which streams may have been forgotten here, reactor
        seconds; None if none were.

    Notes
    -----
    What two versions write does not fit together, so a stream goes on at the
    version that began it or not at all. The gateway that forwards its first
    event tells a few others, the stream's keepers. A gateway to which a client
    comes back asks them. If none answers that it knows the stream, the version
    cannot be learned.

    The keys of a stream are the hash of the identifier of the request that
    began it, which most clients name when they resume it, and the request's
    fingerprint for those that do not. A fingerprint under which streams of
    several versions have begun tells nothing. Nor does one while as many
    gateways have lately lost their memory as remember a stream: what is known
    may be of a later stream alone.
    """

    __slots__ = (
        "gateway",
        "records",
        "questions",
        "version_records",
        "search",
        "remembered_since",
    )

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.records = {}
        self.questions = {}
        # Until it turns out that this is the gateway's first start.
        self.remembered_since = gateway.reactor.seconds()
        self.version_records = VersionRecords(
            gateway=gateway, ttl=RECORD_TTL_S
        )
        self.search = VersionSearch(
            gateway=gateway, records=self.version_records
        )

    def announce(self, head, version):
        """Remember which version began a stream here and tell its keepers.

        Parameters
        ----------
        head : RequestHead
        version : int
            Key of the version.
        """
        stream = hash_stream(head.identifier)
        peers = {
            peer.identifier: peer
            for peer in self.gateway.peers.list_live()
            if not peer.is_leaving
        }
        self.note(stream, version)
        self.note(head.fingerprint, version)
        keepers = choose_keepers(
            stream,
            head.fingerprint,
            peers,
            apart=[
                name for name, peer in peers.items() if not peer.runs_online
            ],
        )
        recipients = {}
        for identifier, keys in keepers.items():
            recipients.setdefault(keys, []).append(peers[identifier])
        for keys, group in recipients.items():
            notices = [StreamNotice(key=key, version=version) for key in keys]
            self.gateway.peers.send_change(group, streams=notices)

    def note(self, key, version):
        """Remember the version of a stream."""
        now = self.gateway.reactor.seconds()
        known = self.find_known(key)
        self.records.pop(key, None)
        if known not in (None, version):
            version = AMBIGUOUS_VERSION
        self.records[key] = (version, now)
        while self.is_oldest_expired(now):
            del self.records[next(iter(self.records))]
        while len(self.records) > MAX_RECORDS:
            _, self.remembered_since = self.records.pop(
                next(iter(self.records))
            )

    def is_oldest_expired(self, now):
        _, noted_at = next(iter(self.records.values()))
        return now - noted_at > RECORD_TTL_S

    def note_first_start(self):
        """Note that no earlier process of this gateway has known streams."""
        self.remembered_since = None

    def measure_memory(self):
        """Return for how long streams are remembered here.

        Returns
        -------
        float
            Seconds, infinity if none were forgotten.
        """
        if self.remembered_since is None:
            return math.inf
        return self.gateway.reactor.seconds() - self.remembered_since

    def count_forgetful(self, pending):
        """Count the gateways that may have forgotten a stream.

        Parameters
        ----------
        pending : collection of str
            Identifiers of those that did not answer a question for it.
        """
        now = self.gateway.reactor.seconds()
        count = int(self.measure_memory() < RECORD_TTL_S)
        for peer in self.gateway.peers.peers.values():
            if peer.identifier in pending:
                count += 1
            elif peer.is_live(now):
                count += peer.measure_memory(now) < RECORD_TTL_S
            elif peer.last_seen is None:
                # Registered, and not heard since this gateway has started.
                count += self.measure_memory() < RECORD_TTL_S
            else:
                count += now - peer.last_seen < RECORD_TTL_S
        return count

    def find_known(self, key):
        """Return the version that is known here, None without one."""
        version, _ = self.records.get(key, (None, 0.0))
        return version

    async def find(self, head):
        """Find the version that began the stream that a request resumes.

        Parameters
        ----------
        head : RequestHead

        Returns
        -------
        Finding
        """
        is_named = head.resumes is not None
        key = hash_stream(head.resumes) if is_named else head.fingerprint
        known = self.find_known(key)
        if known is not None and is_named:
            return Finding(version=known, is_certain=True)
        if key in self.questions:
            return await self.questions[key].wait()
        live = [peer.identifier for peer in self.gateway.peers.list_live()]
        respondents = choose_respondents(key, live)
        if not respondents:
            return self.judge(known, is_named=is_named, pending=())
        question = Question(pending=set(respondents), takes_first=is_named)
        if known is not None:
            question.versions.add(known)
        self.questions[key] = question
        answer = question.wait()
        self.send_question(key, question, remaining=MAX_QUESTIONS)
        return await answer

    def send_question(self, key, question, *, remaining):
        question.call = None
        if remaining == 0:
            self.end_question(key, question)
            return
        question.call = self.gateway.reactor.callLater(
            ANSWER_TIMEOUT_S,
            self.send_question,
            key,
            question,
            remaining=remaining - 1,
        )
        peers = self.gateway.peers.list_live()
        self.gateway.peers.send_change(
            [peer for peer in peers if peer.identifier in question.pending],
            asked_streams=[key],
        )

    def end_question(self, key, question):
        del self.questions[key]
        unanswered = len(question.pending)
        finding = self.judge(
            question.find_version(),
            is_named=question.takes_first,
            pending=question.pending,
        )
        question.end(finding)
        if finding.version is None:
            eliot.log_message(
                "stream:unknown",
                stream=format_hash(key),
                unanswered=unanswered,
            )

    def judge(self, version, *, is_named, pending):
        """Judge what the gateways know of a stream.

        Parameters
        ----------
        version : int or None
        is_named : bool
            Whether it is known by its own identifier.
        pending : collection of str
            Identifiers of the gateways that did not answer.

        Returns
        -------
        Finding
        """
        is_certain = is_named or not may_miss_streams(
            self.count_forgetful(pending),
            others=len(self.gateway.peers.list_live()),
        )
        return Finding(version=version, is_certain=is_certain)

    def apply(self, peer, message):
        """Apply what a peer tells of streams, and answer what it asks.

        Notes
        -----
        Neither depends on the order of messages.
        """
        for notice in message.streams:
            self.apply_notice(peer, notice)
        if message.asked_streams:
            self.gateway.peers.send_change(
                [peer],
                streams=[
                    StreamNotice(key=key, version=self.find_known(key) or 0)
                    for key in message.asked_streams
                ],
            )

    def apply_notice(self, peer, notice):
        if notice.version:
            self.note(notice.key, notice.version)
        question = self.questions.get(notice.key)
        if question is not None and question.note_answer(
            peer.identifier, notice.version
        ):
            self.end_question(notice.key, question)


def hash_stream(identifier):
    """Return the hash of the identifier of the request that began a stream."""
    return hash_parts("stream", identifier)
