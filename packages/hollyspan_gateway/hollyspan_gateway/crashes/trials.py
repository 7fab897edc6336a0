"""Trials of blocks, one at a time in the fleet."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_policy.crashes import has_common_cause

from ..clock import wait
from .claims import TrialClaims
from .detector import is_broken_off
from .schedule import describe_with_age
from .schedule import TrialSchedule
from .trial import Trial
from .trial import TrialGrant

__all__ = ["BlockTrials"]

# Time to the next claim after another gateway has the trial, and after a claim
# that no request here has used, so that another gateway comes first.
CLAIM_RETRY_S = 0.5
UNUSED_CLAIM_DELAY_S = 1.5
# Time for which a gateway may use a claim.
GRANT_S = 2.0
# Longest time that a request waits for the claim to its trial.
CLAIM_WAIT_S = 0.5
# Time after a trial in which its upstream's end, if it is one, is detected.
TRIAL_CHECK_S = 2.0
# Time after a trial that was given up to the check of its upstream: less than
# one needs to start again.
UPSTREAM_CHECK_S = 1.0
# Time of a trial after which the next one may begin.
MAX_TRIAL_S = 3.0
# Time from the end to the verdict, in which other gateways report ends.
VERDICT_DELAY_S = 0.2
# Delay of the first repetition of the news of a trial, which may be lost, and
# interval of the others.
FIRST_REPETITION_S = 0.05
REPETITION_INTERVAL_S = 1.0
# Time in which trials without a claim repeat it after the first delay again:
# a gateway that has heard none begins one as well, some tenths later.
FREQUENT_NEWS_S = 0.5


class BlockTrials:
    """Lets requests through blocks and judges what comes of it.

    Parameters
    ----------
    gateway : Gateway
    guard : RequestGuard

    Attributes
    ----------
    claims : TrialClaims
    claiming : set of frozenset of int
        Keys of the blocks whose trial is being claimed.
    grants : dict
        TrialGrant by the keys of each of its blocks.
    own : dict
        Trial that is in flight here, or not judged yet, by the keys of each
        of its blocks.
    schedule : TrialSchedule

    Notes
    -----
    The gateway that has a request claims the trial; the others hear of it.
    """

    __slots__ = (
        "gateway",
        "guard",
        "claims",
        "claiming",
        "grants",
        "own",
        "schedule",
    )

    def __init__(self, *, gateway, guard):
        self.gateway = gateway
        self.guard = guard
        self.claims = TrialClaims(gateway=gateway)
        self.claiming = set()
        self.grants = {}
        self.own = {}
        self.schedule = TrialSchedule(
            gateway=gateway, guard=guard, claims=self.claims
        )

    def is_tried_here(self, block):
        """Return whether a trial of a block is in flight here."""
        return block.keys in self.own

    def may_try(self, blocks, request):
        """Return whether a request may be let through as a trial now.

        The trial is claimed when it is due; a later call tells of it.

        Parameters
        ----------
        blocks : list of Block
            All that the request falls under.
        request : str
            Its identifier.
        """
        if self.is_due(blocks):
            self.start_claim(blocks)
        grant = self.grants.get(blocks[0].keys)
        if grant is None or grant.request not in (None, request):
            return False
        if len(grant.blocks) != len(blocks) or any(
            self.grants.get(block.keys) is not grant for block in blocks
        ):
            return False
        # A peer may have begun one since, or ended it.
        if not all(map(self.is_free, blocks)) or any(
            map(self.schedule.has_recent_end, blocks)
        ):
            return False
        grant.request = request
        return True

    async def claim_for(self, keys):
        """Wait shortly for the claim if a request can be the trial."""
        if not self.guard.blocks:
            return
        blocks = self.guard.block_list.list_matching(keys)
        if not blocks or not self.is_due(blocks):
            return
        work = self.start_claim(blocks)
        waiter = defer.Deferred()
        timer = self.gateway.reactor.callLater(
            CLAIM_WAIT_S, waiter.callback, None
        )

        def resume(_):
            if timer.active():
                timer.cancel()
                waiter.callback(None)

        work.addBoth(resume)
        try:
            await waiter
        finally:
            if timer.active():
                timer.cancel()

    def is_due(self, blocks):
        """Return whether this gateway may claim a trial of all blocks now."""
        return not any(
            block.keys in self.own
            or block.keys in self.grants
            or block.keys in self.claiming
            for block in blocks
        ) and self.schedule.is_due(blocks)

    def is_free(self, block):
        """Return whether the next trial has not begun anywhere."""
        return block.keys not in self.own and self.schedule.is_open(block)

    def start_claim(self, blocks):
        """Claim the next trial of some blocks at once; return a Deferred."""
        self.claiming.update(block.keys for block in blocks)
        work = defer.ensureDeferred(self.claim(blocks))
        work.addErrback(eliot.write_failure)
        return work

    async def claim(self, blocks):
        trial_counts = [block.trial_count for block in blocks]
        try:
            has_claim = await self.claims.acquire(blocks)
            if has_claim is None:
                if not self.schedule.has_slot(blocks):
                    return
                # Requests that come after all turns may come at once.
                await wait(
                    self.gateway.reactor, self.schedule.find_stagger(blocks)
                )
        finally:
            self.claiming.difference_update(block.keys for block in blocks)
        if has_claim is False:
            self.schedule.delay(blocks, CLAIM_RETRY_S)
            return
        is_current = trial_counts == [
            block.trial_count for block in blocks
        ] and all(map(self.is_in_force, blocks))
        if not is_current or not all(map(self.is_free, blocks)):
            if has_claim:
                self.claims.release(blocks)
            return
        until = self.gateway.reactor.seconds() + GRANT_S
        self.grant(
            TrialGrant(blocks=blocks, until=until, is_claimed=bool(has_claim))
        )

    def is_in_force(self, block):
        return self.guard.blocks.get(block.keys) is block

    def grant(self, grant):
        """Let a request through until the grant ends."""
        for block in grant.blocks:
            self.grants[block.keys] = grant
        delay = max(0.0, grant.until - self.gateway.reactor.seconds())
        self.gateway.reactor.callLater(delay, self.end_grant, grant)

    def end_grant(self, grant):
        """End a grant that no request has used."""
        if self.drop_grant(grant):
            self.schedule.delay(grant.blocks, UNUSED_CLAIM_DELAY_S)
            if grant.is_claimed:
                self.claims.release(grant.blocks)

    def drop_grant(self, grant):
        """Drop a grant; return whether it was in force."""
        held = [keys for keys, other in self.grants.items() if other is grant]
        for keys in held:
            del self.grants[keys]
        return bool(held)

    def begin(self, exposure):
        """Begin a trial if a request is let through with a grant."""
        for grant in self.grants.values():
            if grant.request == exposure.request and all(
                block.keys.issubset(exposure.keys) for block in grant.blocks
            ):
                break
        else:
            return
        if any(block.keys in self.own for block in grant.blocks):
            return
        self.drop_grant(grant)
        now = self.gateway.reactor.seconds()
        trial = Trial(
            blocks=grant.blocks, grant=grant, exposure=exposure, started_at=now
        )
        for block in trial.blocks:
            self.own[block.keys] = trial
            eliot.log_message(
                "part:tried",
                request=exposure.request,
                **describe_with_age(block, now=now),
            )
            self.guard.news.tell_block(block)
        self.gateway.reactor.callLater(
            FIRST_REPETITION_S, self.repeat_news, trial
        )
        self.gateway.reactor.callLater(MAX_TRIAL_S, self.end_unchecked, trial)

    def repeat_news(self, trial):
        """Tell the others that a trial goes on."""
        if self.is_open(trial):
            for block in trial.blocks:
                self.guard.news.tell_block(block)
            age = self.gateway.reactor.seconds() - trial.started_at
            is_frequent = age < FREQUENT_NEWS_S and not trial.grant.is_claimed
            self.gateway.reactor.callLater(
                FIRST_REPETITION_S if is_frequent else REPETITION_INTERVAL_S,
                self.repeat_news,
                trial,
            )

    def is_open(self, trial):
        return bool(trial.blocks)

    def find(self, exposure):
        """Return the open trial that a tracked request is, or None."""
        for trial in self.own.values():
            if trial.exposure is exposure:
                return trial
        return None

    def note_left(self, exposure, error):
        """Note that a tracked request was given up."""
        trial = self.find(exposure) if self.own else None
        if trial is None:
            return
        if isinstance(error, (InvalidRequestError, UpstreamUnavailableError)):
            self.end(trial, "not_sent", reason=error.code)
        else:
            trial.reason = "given up"

    def note_closed(self, exposure):
        """Note that a tracked request is no longer in flight."""
        trial = self.find(exposure) if self.own else None
        if trial is not None:
            self.gateway.reactor.callLater(
                UPSTREAM_CHECK_S, self.check_upstream, trial
            )
            self.gateway.reactor.callLater(
                TRIAL_CHECK_S, self.end_unchecked, trial
            )

    def check_upstream(self, trial):
        """Check whether an upstream has ended since the trial was given up."""
        if (
            self.is_open(trial)
            and not trial.has_ended_upstream
            and not trial.is_broken_off
        ):
            self.guard.detector.note_lost(trial.exposure)

    def note_result(self, exposure, error):
        """Note how a tracked request has ended."""
        trial = self.find(exposure) if self.own else None
        if trial is None:
            return
        if isinstance(error, UpstreamUnavailableError):
            self.end(trial, "not_sent", reason=error.code)
        else:
            trial.reason = error.code if error else "no survival"
            trial.is_broken_off = is_broken_off(error)

    def end_unchecked(self, trial):
        """End a trial whose upstream has not ended, as far as it was seen.

        Other gateways may have seen the end, since the request was given up.
        """
        if not self.is_open(trial) or trial.has_ended_upstream:
            return
        end = self.guard.evidence.ends.get(trial.upstream_key)
        if end is not None and end.at >= trial.started_at:
            if end.is_confirmed:
                self.judge(trial)
            else:
                self.end(trial, "void", reason="the end is in doubt")
        elif trial.is_broken_off and not trial.exposure.is_upstream_alive:
            self.end(trial, "void", reason="the upstream may have ended")
        else:
            self.end(trial, "unfinished", reason=trial.reason)

    def note_end(self, block, upstream_key):
        """Note the end of an upstream that had a blocked request in flight.

        Returns
        -------
        bool
            Whether it is the trial of this gateway.
        """
        trial = self.own.get(block.keys)
        if trial is None or trial.upstream_key != upstream_key:
            return False
        if not trial.has_ended_upstream:
            trial.has_ended_upstream = True
            self.gateway.reactor.callLater(VERDICT_DELAY_S, self.judge, trial)
        return True

    def judge(self, trial):
        """Judge a trial whose upstream has ended."""
        if not self.is_open(trial):
            return
        end = self.guard.evidence.ends.get(trial.upstream_key)
        ends = self.guard.list_all_ends()
        if end is not None and any(
            has_common_cause(block.keys, end, ends, blocked=self.guard.blocks)
            for block in trial.blocks
        ):
            self.end(trial, "void", reason="others ended as well")
        elif trial.is_joint:
            self.end(trial, "void", reason="other blocked keys came with it")
        else:
            self.end(trial, "failed")

    def note_unblocked(self, block, *, reason):
        """End what belongs to a block that is not in force any longer."""
        self.schedule.forget(block)
        grant = self.grants.pop(block.keys, None)
        if grant is not None:
            grant.blocks.remove(block)
        trial = self.own.get(block.keys)
        if trial is not None:
            self.end_for(trial, block, reason)

    def end(self, trial, result, *, reason=None):
        """End a trial.

        Parameters
        ----------
        trial : Trial
        result : str
            What it tells; ``failed`` and ``void`` count at each block.
        reason : str, optional
        """
        now = self.gateway.reactor.seconds()
        blocks = list(trial.blocks)
        for block in blocks:
            if result == "failed":
                block.note_failed_trial(now=now)
            elif result == "void":
                block.note_void_trial(now=now)
            self.end_for(trial, block, result, reason=reason)
            self.guard.news.tell_block(block)
        if result == "not_sent":
            trial.grant.request = None
            # Some may have ended during the trial.
            trial.grant.blocks = blocks
            self.grant(trial.grant)
        elif result == "unfinished":
            self.schedule.delay(blocks, CLAIM_RETRY_S)
            if trial.grant.is_claimed:
                self.claims.release(blocks)
        else:
            for block in blocks:
                self.guard.records.update(block)

    def end_for(self, trial, block, result, *, reason=None):
        """End a trial for one of its blocks."""
        now = self.gateway.reactor.seconds()
        trial.blocks.remove(block)
        del self.own[block.keys]
        eliot.log_message(
            "part:trial_ended",
            request=trial.exposure.request,
            upstream=trial.exposure.upstream.entry.name,
            result=result,
            reason=reason,
            seconds=now - trial.started_at,
            **describe_with_age(block, now=now),
        )
