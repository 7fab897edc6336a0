"""Refusal of requests that have ended upstreams."""

import contextlib
import math
import random

import eliot

from hollyspan_core.errors import StreamStalledError
from hollyspan_policy.crashes import choose_blocks
from hollyspan_policy.crashes import CrashEvidence
from hollyspan_policy.crashes import has_ended_upstreams
from hollyspan_policy.crashes import is_refuted
from hollyspan_policy.crashes import list_explained_blocks
from hollyspan_policy.crashes import list_implicated_keys
from hollyspan_policy.crashes import may_be_coincidence
from hollyspan_policy.crashes import narrow_block
from hollyspan_policy.hashing import format_hash

from .block_list import BlockList
from .detector import EndDetector
from .detector import is_broken_off
from .exposure import Exposure
from .news import CrashNews
from .records import BlockRecords
from .records import build_key
from .trials import BlockTrials

__all__ = ["RequestGuard"]

# Time from a report to the decision, in which other gateways can answer that
# upstreams have survived the keys, and the longest random delay of such an
# answer, so that few gateways give it.
DECISION_DELAY_S = 0.2
MAX_SURVIVAL_DELAY_S = 0.1
# Age up to which a survival may have been unknown to those that have decided
# on a block: its validity, the three ends and the delays.
RECALL_S = 10.0
# Rounding of times that are added and subtracted.
CLOCK_TOLERANCE_S = 0.001
# Time in which the store drops the entry of an upstream that has ended: three
# of its heartbeats, and some for their transport.
ENTRY_EXPIRY_S = 5.0
# Limit on the ends that are not confirmed yet; the oldest are forgotten.
MAX_SEEN_ENDS = 64
# Limit on the blocks of peers that were not taken over.
MAX_DECLINED = 64


class RequestGuard:
    """Decides which requests may be sent to upstreams.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    evidence : CrashEvidence
        From all gateways.
    started_at : float
        Time from which this gateway has heard of ends, seconds.
    block_list : BlockList
    trials : BlockTrials
    exposures : set of Exposure
        All requests and items in flight from this gateway.
    seen_ends : dict
        Keys of the requests that ends have broken off here, by the key of the
        upstream's incarnation, until the ends are confirmed.
    declined : dict
        Time of the last check of each block that was not taken over, by its
        keys.

    Notes
    -----
    Each gateway reports the ends of upstreams that it has seen, with the keys
    of the requests in flight there, decides for itself from the reports of
    all, and tells its decisions to the others and to the store. A block ends
    when a gateway sees that an upstream has survived a request with its keys:
    one that was in flight, or a trial that one of them lets through.
    """

    __slots__ = (
        "gateway",
        "started_at",
        "evidence",
        "exposures",
        "seen_ends",
        "declined",
        "detector",
        "news",
        "records",
        "block_list",
        "trials",
        "decision_call",
        "survival_call",
    )

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.started_at = gateway.reactor.seconds()
        self.evidence = CrashEvidence()
        self.exposures = set()
        self.seen_ends = {}
        self.declined = {}
        self.detector = EndDetector(
            gateway=gateway,
            on_end=self.handle_end,
            on_confirmed=self.confirm_end,
        )
        self.news = CrashNews(gateway=gateway)
        self.records = BlockRecords(gateway=gateway, guard=self)
        self.trials = BlockTrials(gateway=gateway, guard=self)
        self.block_list = BlockList(
            reactor=gateway.reactor,
            may_try=self.trials.may_try,
            is_doubtful=self.may_be_coincidence,
            on_block=self.break_off,
            on_unblock=self.trials.note_unblocked,
        )
        self.decision_call = None
        self.survival_call = None

    @property
    def blocks(self):
        """Block by its keys, the oldest first."""
        return self.block_list.blocks

    @contextlib.contextmanager
    def track(self, upstream, *, request, keys, fingerprint=0):
        """Track a request that is sent to an upstream.

        Parameters
        ----------
        upstream : Upstream
        request : str
            Identifier of the request or the item.
        keys : tuple of int
        fingerprint : int, optional
            The one of the keys that belongs to this request alone.

        Yields
        ------
        Exposure
        """
        exposure = Exposure(
            upstream=upstream,
            request=request,
            keys=keys,
            fingerprint=fingerprint,
        )
        exposure.is_in_silence = self.gateway.reach.is_silent(upstream)
        self.exposures.add(exposure)
        if self.blocks:
            self.trials.begin(exposure)
        try:
            yield exposure
        except Exception as error:
            self.trials.note_left(exposure, error)
            raise
        finally:
            self.exposures.discard(exposure)
            self.trials.note_closed(exposure)

    def has_ended_upstreams(self, fingerprint, *, before):
        """Return whether a request may have ended upstreams before a time."""
        if not self.evidence.ends:
            return False
        return has_ended_upstreams(
            fingerprint,
            self.evidence.list_ends(now=self.gateway.reactor.seconds()),
            survivals=self.evidence.survivals,
            before=before,
        )

    def may_be_coincidence(self, keys):
        """Return whether the ends with some keys may have another cause."""
        return may_be_coincidence(
            keys,
            self.list_ends(),
            survivals=self.evidence.survivals,
            beside=self.list_beside(),
        )

    def list_ends(self):
        """Return the ends that all gateways could tell this one of."""
        now = self.gateway.reactor.seconds()
        return [
            end
            for end in self.evidence.list_ends(now=now)
            if end.at >= self.started_at
        ]

    def list_all_ends(self):
        """Return the ends that tell of losses, whether or not they count."""
        return [*self.evidence.ends.values(), *self.list_beside()]

    def list_beside(self):
        """Return the ends that may share a cause with those that count."""
        return self.evidence.list_beside(
            now=self.gateway.reactor.seconds(),
            list_unproven=self.gateway.incarnations.list_unproven,
        )

    def note_closed(self, address):
        """Note an idle connection that was closed at the other end."""
        self.detector.note_closed(address)

    def note_data(self, exposure):
        """Note bytes of the answer to a tracked request."""
        self.gateway.reach.note_data(
            exposure.upstream, opened_at=exposure.opened_at
        )
        self.gateway.incarnations.note_bytes(
            exposure.upstream, opened_at=exposure.opened_at
        )
        if exposure.note_data(now=self.gateway.reactor.seconds()):
            self.handle_survival(exposure.keys)

    def note_result(self, exposure, error, reply):
        """Note how a tracked request has ended.

        Parameters
        ----------
        exposure : Exposure
        error : HollyspanError or None
            Reason why no complete answer arrived; None if one did.
        reply : UpstreamReply or None
        """
        if error is None:
            # Another answer ends as well when its upstream does.
            if reply.is_delimited and reply.is_success:
                self.note_complete(exposure)
        elif isinstance(error, StreamStalledError):
            self.gateway.reach.note_silence(exposure.upstream)
        elif is_broken_off(error):
            if self.gateway.reach.is_silent(exposure.upstream):
                exposure.is_in_silence = True
            self.detector.note_lost(exposure)
        self.trials.note_result(exposure, error)

    def note_complete(self, exposure):
        if not exposure.has_survived:
            exposure.has_survived = True
            self.handle_survival(exposure.keys)

    def handle_survival(self, keys):
        if not keys:
            return
        now = self.gateway.reactor.seconds()
        refuted = self.apply_survival(keys, at=now)
        if refuted:
            self.news.tell_survival(keys, at=now)
        for block in refuted:
            # The others read the removal.
            self.records.remove(block)

    def apply_survival(self, keys, *, at):
        """Withdraw what a survival, here or at a peer, contradicts.

        Returns
        -------
        list of Block
            The blocks that were withdrawn.
        """
        self.evidence.note_survival(keys, at=at)
        if not self.blocks:
            return []
        refuted = [
            block
            for block in self.blocks.values()
            if block.keys.issubset(keys)
            and self.refutes(
                block.keys,
                decided_at=block.at,
                failed_trials=block.failed_trials,
                survived_at=at,
            )
        ]
        for block in refuted:
            self.block_list.remove(block, reason="survived")
            if at <= block.at:
                self.withdraw(block.keys)
        for block in list(self.blocks.values()):
            self.narrow(block)
        return refuted

    def refutes(self, keys, *, decided_at, failed_trials, survived_at):
        """Return whether a survival contradicts a block.

        One before the decision does if the ends that are known here are too
        few without those that it clears, and no trial has failed since.
        """
        return is_refuted(
            keys,
            [] if failed_trials else self.list_ends(),
            decided_at=decided_at,
            survived_at=survived_at,
        )

    def apply_removal(self, block):
        """Withdraw a block whose record was removed from the store."""
        now = self.gateway.reactor.seconds()
        self.block_list.remove(block, reason="removed")
        self.evidence.note_survival(block.keys, at=now)
        self.news.note_refutation(block.keys, at=now)

    def narrow(self, block):
        """Limit a block to the keys that no upstream has survived."""
        if len(block.keys) == 1:
            return
        keys = narrow_block(
            block.keys, at=block.at, survivals=self.evidence.survivals
        )
        if keys != block.keys:
            narrower = self.block_list.add(
                keys,
                at=block.at,
                failed_trials=block.failed_trials,
                void_trials=block.void_trials,
            )
            self.news.tell_block(narrower)
            self.records.replace(block, narrower)

    def publish_block(self, block):
        """Tell a block to the other gateways and to the store.

        The others decide from the same reports; heartbeats repeat the block.
        One message to all is enough for those that have missed reports.
        """
        self.records.store(block)
        if self.records.is_owner(build_key(block.keys)):
            self.news.tell_block(block)

    def handle_end(self, upstream, exposures):
        """Report an upstream that seems to have ended, with its requests.

        Parameters
        ----------
        upstream : Upstream
        exposures : list of Exposure
            Those that its end has broken off.
        """
        gateway = self.gateway
        gateway.directory.note_unreachable(upstream)
        now = gateway.reactor.seconds()
        suspects = [
            exposure
            for exposure in exposures
            if exposure.keys
            and not exposure.has_survived
            and not exposure.may_be_unread
        ]
        requests = {exposure.keys for exposure in suspects}
        fingerprints = {exposure.fingerprint for exposure in suspects} - {0}
        key = upstream.entry.incarnation_key
        # The upstream may be a successor that is not known here.
        is_earlier = key in self.evidence.ends and not (
            self.evidence.is_same_end(key, at=now)
        )
        has_unread = any(exposure.may_be_unread for exposure in exposures)
        if has_unread or is_earlier:
            self.evidence.note_unread(key, at=now)
            self.news.tell_other_end(key, at=now, has_unread=True)
        if not requests:
            if not has_unread:
                self.evidence.note_other_end(
                    key,
                    at=self.detector.find_end(upstream),
                    is_confirmed=False,
                )
            return
        self.detector.schedule_closed_checks()
        self.seen_ends[key] = requests
        if len(self.seen_ends) > MAX_SEEN_ENDS:
            del self.seen_ends[next(iter(self.seen_ends))]
        self.news.tell_end(key, requests, fingerprints=fingerprints, at=now)
        self.apply_end(
            key,
            requests,
            fingerprints=fingerprints,
            at=now,
            is_confirmed=False,
        )

    def confirm_end(self, upstream):
        """Count the end of an upstream, which other gateways see, too.

        Parameters
        ----------
        upstream : Upstream
        """
        key = upstream.entry.incarnation_key
        other = self.evidence.other_ends.get(key)
        if other is not None and not other.is_confirmed:
            other.is_confirmed = True
            self.news.tell_other_end(key, at=other.at)
        if not self.evidence.is_in_doubt(key):
            return
        eliot.log_message(
            "upstream:end_confirmed", upstream=upstream.entry.name
        )
        now = self.gateway.reactor.seconds()
        self.apply_end(key, (), at=now, is_confirmed=True)
        self.news.tell_confirmation(key)

    def confirm_recent_end(self, upstream):
        """Count an end seen shortly before the upstream was known to be gone.

        Its entry was dropped, or another process has its name: the fault of a
        link does neither. One that has announced its shutdown tells nothing.
        """
        if not upstream.accepts_work:
            return
        key = upstream.entry.incarnation_key
        record = self.evidence.ends.get(key)
        record = record or self.evidence.other_ends.get(key)
        now = self.gateway.reactor.seconds()
        if record is not None and now - record.at < ENTRY_EXPIRY_S:
            self.confirm_end(upstream)

    def extend_blocks(self, key):
        """Extend the blocks under which an upstream has ended here."""
        requests = self.seen_ends.pop(key, ())
        now = self.gateway.reactor.seconds()
        for block in list(self.blocks.values()):
            if any(
                block.keys.issubset(keys) for keys in requests
            ) and not self.trials.note_end(block, key):
                block.at = now

    def apply_end(
        self, key, requests, *, at, is_confirmed, fingerprints=frozenset()
    ):
        """Apply a report, here or of a peer, and decide a little later."""
        if not self.evidence.note_end(
            key,
            requests,
            fingerprints=fingerprints,
            at=at,
            is_confirmed=is_confirmed,
        ):
            return
        if self.evidence.is_in_doubt(key):
            return
        self.extend_blocks(key)
        reactor = self.gateway.reactor
        if self.decision_call is None:
            self.decision_call = reactor.callLater(
                DECISION_DELAY_S, self.decide
            )
        if self.survival_call is None:
            self.survival_call = reactor.callLater(
                random.uniform(0.0, MAX_SURVIVAL_DELAY_S), self.tell_survivals
            )

    def tell_survivals(self):
        """Tell the others of survivals that they may not know."""
        self.survival_call = None
        now = self.gateway.reactor.seconds()
        ends = self.evidence.list_ends(now=now)
        implicated = list_implicated_keys(
            ends, survivals=self.news.list_told(), blocked=self.blocks
        )
        # With what is known here, some of them are not.
        implicated -= list_implicated_keys(
            ends, survivals=self.evidence.survivals, blocked=self.blocks
        )
        for key in implicated:
            self.news.tell_survival((key,), at=self.evidence.survivals[key])

    def decide(self):
        """Block the requests that the evidence convicts.

        Notes
        -----
        Ends before the start of this gateway do not count: each gateway
        repeats its own reports only, and those of one that is gone, such as
        the predecessor of this one, are missing here. The others have
        decided on them.
        """
        self.decision_call = None
        now = self.gateway.reactor.seconds()
        self.drop_explained_blocks()
        ends = self.list_ends()
        reported_at = now - DECISION_DELAY_S + CLOCK_TOLERANCE_S
        # What other gateways had in flight at a later end is not known yet.
        later = [end.at for end in ends if end.at > reported_at]
        if later:
            self.decision_call = self.gateway.reactor.callLater(
                min(later) + DECISION_DELAY_S - now, self.decide
            )
        beside = [end for end in ends if end.at > reported_at]
        ends = [end for end in ends if end.at <= reported_at]
        for keys in choose_blocks(
            ends,
            survivals=self.evidence.survivals,
            blocked=self.blocks,
            beside=beside + self.list_beside(),
        ):
            eliot.log_message(
                "part:decided",
                parts=[format_hash(key) for key in sorted(keys)],
                ages=[round(now - end.at, 3) for end in ends],
                requests=[len(end.requests) for end in ends],
                with_parts=[
                    sum(map(keys.issubset, end.requests)) for end in ends
                ],
            )
            self.publish_block(self.block_list.add(keys, at=now))
        # Peers may have told a block before all of its ends.
        for block in self.blocks.values():
            if not block.is_doubtful and not block.failed_trials:
                block.is_doubtful = self.may_be_coincidence(block.keys)

    def list_explained(self, blocks):
        """List the blocks whose ends other keys explain better."""
        return list_explained_blocks(
            blocks,
            self.list_ends(),
            survivals=self.evidence.survivals,
            blocked=self.blocks,
        )

    def drop_explained_blocks(self):
        """End the blocks whose ends other keys explain better, here only.

        They were decided on a part of the reports. Nothing is told: the peers
        may have reports that this gateway has not. One under which a trial
        has failed stays.
        """
        untried = [
            keys
            for keys, block in self.blocks.items()
            if not block.failed_trials
        ]
        for keys in self.list_explained(untried):
            self.block_list.remove(self.blocks[keys], reason="explained")

    def apply_block(self, keys, *, at, failed_trials, void_trials=0):
        """Apply a block of a peer or of the store.

        Parameters
        ----------
        keys : frozenset of int
        at : float
            Time of the decision or of the last trial that it has outlasted.
        failed_trials, void_trials : int
        """
        if self.news.is_refuted(keys, since=at):
            return
        if keys not in self.blocks and self.has_survived(keys, since=at):
            self.withdraw(keys)
        elif keys in self.blocks or failed_trials or not self.declines(keys):
            self.declined.pop(keys, None)
            if keys not in self.blocks and not failed_trials:
                self.recall_survival(keys)
            self.block_list.add(
                keys,
                at=at,
                failed_trials=failed_trials,
                void_trials=void_trials,
            )

    def has_survived(self, keys, *, since):
        """Return whether an upstream has survived a single key later."""
        survivals = self.evidence.survivals
        return len(keys) == 1 and any(
            survivals.get(key, since) > since for key in keys
        )

    def recall_survival(self, keys):
        """Tell of a survival that those who have decided may not know."""
        now = self.gateway.reactor.seconds()
        survived = tuple(sorted(keys))
        for key in survived:
            at = self.evidence.survivals.get(key, -math.inf)
            if len(survived) == 1 and now - at < RECALL_S:
                self.tell_later(survived, at=at)

    def withdraw(self, keys):
        """Tell that a block which is not in force here was survived."""
        now = self.gateway.reactor.seconds()
        self.news.note_refutation(keys, at=now)
        self.records.withdraw(keys)
        self.tell_later(tuple(sorted(keys)), at=now)

    def tell_later(self, keys, *, at):
        """Tell of a survival, unless another gateway does before.

        The delay is random, so that few do.
        """
        self.gateway.reactor.callLater(
            random.uniform(0.0, MAX_SURVIVAL_DELAY_S),
            self.tell_unless_told,
            keys,
            at,
            self.gateway.reactor.seconds(),
        )

    def tell_unless_told(self, keys, at, since):
        if not self.news.has_told(keys, since=since):
            self.news.tell_survival(keys, at=at)

    def declines(self, keys):
        """Return whether the reports known here explain a block's ends."""
        now = self.gateway.reactor.seconds()
        is_new = keys not in self.declined
        if not is_new and now - self.declined[keys] < DECISION_DELAY_S:
            return True
        if not self.list_explained([keys]):
            return False
        self.declined[keys] = now
        if len(self.declined) > MAX_DECLINED:
            del self.declined[next(iter(self.declined))]
        if is_new:
            eliot.log_message(
                "part:not_taken_over",
                parts=[format_hash(key) for key in sorted(keys)],
            )
        return True

    def break_off(self, block):
        """Break off the blocked requests that are held or in flight."""
        for exposure in list(self.exposures):
            if (
                block.keys.issubset(exposure.keys)
                and not exposure.has_data()
                and exposure.abort is not None
            ):
                exposure.abort(self.block_list.build_error(exposure.keys))
        self.gateway.held.release_blocked(block.keys)
