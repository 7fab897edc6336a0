"""Times of the trials of blocks at one gateway."""

import math

import eliot

from hollyspan_policy.crashes import choose_trial_slot
from hollyspan_policy.crashes import CLAIM_SPREAD_S
from hollyspan_policy.crashes import find_calm_time
from hollyspan_policy.crashes import has_met_losses
from hollyspan_policy.crashes import has_request
from hollyspan_policy.crashes import SPREAD_WITHOUT_STORE_S

from .block_list import describe_block
from .claims import CLAIM_TIMEOUT_S

__all__ = ["TrialSchedule", "describe_with_age"]

# Shortest time between two checks whether a trial is due, which many items
# ask for.
CHECK_INTERVAL_S = 0.05
# Limit on the groups of blocks whose last checks are remembered.
MAX_CHECKS = 256
# Time between two checks of the place of this gateway, which take time for
# each gateway of the fleet.
SHARE_CHECK_INTERVAL_S = 0.5
# Time without a message of the gateway that makes a trial, after which it
# counts as gone: several of those that it sends.
TRIAL_NEWS_EXPIRY_S = 3.5
# Time over which gateways begin a trial without the store that all of them get
# a request for at once: less than a request waits for the claim.
STAGGER_S = 0.4
# Age up to which an end with the keys may be that of another gateway's trial.
RECENT_END_S = 1.0


class TrialSchedule:
    """Tells when this gateway may try a block.

    Parameters
    ----------
    gateway : Gateway
    guard : RequestGuard
    claims : TrialClaims

    Attributes
    ----------
    elsewhere : dict
        (peer's key, time of its last message, failed trials) of the trials
        that peers make, by a block's keys.
    next_checks : dict
        Time of the next check whether a trial of some blocks at once is due,
        by the set of their keys.
    delays : dict
        Time until which no trial is claimed, by a block's keys.
    shares : dict
        Time and result of the last check of this gateway's place, by a
        block's keys; by none for trials of several blocks at once.
    postponed : dict
        Number of trials before the one that was postponed, by a block's keys.
    """

    __slots__ = (
        "gateway",
        "guard",
        "claims",
        "elsewhere",
        "next_checks",
        "delays",
        "shares",
        "postponed",
    )

    def __init__(self, *, gateway, guard, claims):
        self.gateway = gateway
        self.guard = guard
        self.claims = claims
        self.elsewhere = {}
        self.next_checks = {}
        self.delays = {}
        self.shares = {}
        self.postponed = {}

    def is_due(self, blocks):
        """Return whether this gateway may claim a trial of all blocks now."""
        now = self.gateway.reactor.seconds()
        if any(now < self.delays.get(block.keys, 0.0) for block in blocks):
            return False
        group = frozenset(block.keys for block in blocks)
        if now < self.next_checks.get(group, 0.0):
            return False
        self.next_checks.pop(group, None)
        self.next_checks[group] = now + CHECK_INTERVAL_S
        if len(self.next_checks) > MAX_CHECKS:
            del self.next_checks[next(iter(self.next_checks))]
        for block in blocks:
            self.note_losses(block)
        return (
            all(map(self.is_open, blocks))
            and not any(map(self.must_postpone, blocks))
            and self.has_slot(blocks)
        )

    def note_losses(self, block):
        """Note whether the last trial of a block met losses."""
        block.has_met_losses = block.void_trials > 0 and has_met_losses(
            block.keys,
            self.guard.list_all_ends(),
            at=block.at,
            blocked=self.guard.blocks,
        )

    def delay(self, blocks, seconds):
        """Claim no trial of some blocks for a time."""
        now = self.gateway.reactor.seconds()
        for block in blocks:
            self.delays[block.keys] = now + seconds

    def forget(self, block):
        """Forget what belongs to a block that is not in force any longer."""
        for by_keys in (
            self.elsewhere,
            self.delays,
            self.shares,
            self.postponed,
        ):
            by_keys.pop(block.keys, None)

    def is_open(self, block):
        """Return whether the time of the next trial has come."""
        return (
            self.gateway.reactor.seconds() >= block.trial_at
            and not self.is_tried_elsewhere(block)
        )

    def has_recent_end(self, block):
        """Return whether an upstream has just ended with the keys."""
        now = self.gateway.reactor.seconds()
        return any(
            now - end.at < RECENT_END_S and has_request(end, block.keys)
            for end in self.guard.evidence.ends.values()
        )

    def has_slot(self, blocks):
        """Return whether the time of this gateway for a trial has come."""
        now = self.gateway.reactor.seconds()
        share = self.find_share(blocks)
        due = max(map(self.find_trial_time, blocks))
        if len(blocks) > 1:
            due = max(due, *(block.joint_trial_at for block in blocks))
        has_store = self.claims.has_store()
        if not has_store:
            # Gateways whose claims fail until then would begin all at once.
            due += CLAIM_TIMEOUT_S
        return share is not None and now >= due + choose_trial_slot(
            share, has_store=has_store, block_count=len(blocks)
        )

    def find_share(self, blocks):
        """Return the place of this gateway, see `find_trial_share`."""
        now = self.gateway.reactor.seconds()
        # The trials of several blocks each share blocks with each other, so
        # that one order of gateways is for all of them.
        keys = blocks[0].keys if len(blocks) == 1 else frozenset()
        checked_at, share = self.shares.get(keys, (-math.inf, None))
        if now >= checked_at + SHARE_CHECK_INTERVAL_S:
            share = self.guard.records.find_trial_share(keys)
            self.shares[keys] = now, share
        return share

    def find_stagger(self, blocks):
        """Return the time by which a trial without a claim comes later."""
        return STAGGER_S * (self.find_share(blocks) or 0.0)

    def find_trial_time(self, block):
        """Return the time of a trial, after the ends that postpone it."""
        spread = (
            CLAIM_SPREAD_S
            if self.claims.has_store()
            else SPREAD_WITHOUT_STORE_S
        )
        calm_at = find_calm_time(
            block.keys,
            self.guard.list_all_ends(),
            blocked=self.guard.blocks,
            void_trials=block.void_trials,
        )
        return max(
            block.trial_at,
            min(calm_at, block.get_latest_trial_time(spread=spread)),
        )

    def must_postpone(self, block):
        """Return whether upstreams are ending, with these keys or others."""
        now = self.gateway.reactor.seconds()
        if self.has_recent_end(block):
            return True
        if now >= self.find_trial_time(block):
            return False
        if self.postponed.get(block.keys) != block.trial_count:
            self.postponed[block.keys] = block.trial_count
            eliot.log_message(
                "part:trial_postponed", **describe_with_age(block, now=now)
            )
        return True

    def is_tried_elsewhere(self, block):
        """Return whether a peer makes a trial.

        One whose peer is not heard any longer counts as failed: the upstream
        may have ended, and nobody else knows with what.
        """
        if block.keys not in self.elsewhere:
            return False
        _, heard_at, failed_trials = self.elsewhere[block.keys]
        now = self.gateway.reactor.seconds()
        if now - heard_at < TRIAL_NEWS_EXPIRY_S:
            return True
        del self.elsewhere[block.keys]
        if block.failed_trials > failed_trials:
            return False
        block.note_failed_trial(now=now)
        eliot.log_message(
            "part:trial_ended",
            result="failed",
            reason="its gateway is gone",
            **describe_with_age(block, now=now),
        )
        # All others find the same.
        return True

    def note_elsewhere(self, keys, sender, *, is_tried):
        """Note whether a peer makes a trial, as its message tells."""
        block = self.guard.blocks.get(keys)
        if block is None:
            self.elsewhere.pop(keys, None)
        elif is_tried:
            now = self.gateway.reactor.seconds()
            self.elsewhere[keys] = sender, now, block.failed_trials
        elif keys in self.elsewhere and self.elsewhere[keys][0] == sender:
            del self.elsewhere[keys]


def describe_with_age(block, *, now):
    """Return the fields of a block and its age for a log line."""
    return {**describe_block(block), "age": now - block.decided_at}
