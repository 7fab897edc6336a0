"""Blocked requests and the trials of these blocks."""

import eliot

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import RequestBlockedError
from hollyspan_policy.crashes import Block
from hollyspan_policy.hashing import format_hash

from .records import build_key

__all__ = ["BlockList", "describe_block"]

# Shortest time between two checks of this gateway's rank for trials, which
# take time for each gateway of the fleet.
RANK_CHECK_INTERVAL_S = 0.5
# Limit on the memory; the oldest block is forgotten.
MAX_BLOCKS = 64
# Shortest retry-after time of a refused request.
MIN_RETRY_AFTER_S = 1.0


class BlockList:
    """Blocks in force at one gateway.

    Parameters
    ----------
    reactor : twisted reactor
    find_trial_rank : callable
        Called with a block's key, returns the number of gateways that may try
        the block before this one, or None if this one may not.
    is_doubtful : callable
        Called with keys, returns whether the upstreams that ended with them
        may have ended of another cause.
    on_block : callable
        Called with each new Block.

    Attributes
    ----------
    blocks : dict
        Block by its keys, the oldest first.
    """

    __slots__ = (
        "reactor",
        "find_trial_rank",
        "is_doubtful",
        "on_block",
        "blocks",
    )

    def __init__(self, *, reactor, find_trial_rank, is_doubtful, on_block):
        self.reactor = reactor
        self.find_trial_rank = find_trial_rank
        self.is_doubtful = is_doubtful
        self.on_block = on_block
        self.blocks = {}

    def find(self, keys):
        """Return the block that a request falls under, or None."""
        for block in self.blocks.values():
            if block.keys.issubset(keys):
                return block
        return None

    def may_send(self, keys):
        """Return whether a request may be sent to an upstream now."""
        if not self.blocks:
            return True
        block = self.find(keys)
        return block is None or self.may_try(block)

    def may_try(self, block):
        """Return whether a request may be let through as a trial here."""
        now = self.reactor.seconds()
        if not block.is_trial_due(now=now):
            return False
        if now >= block.next_check_at:
            block.next_check_at = now + RANK_CHECK_INTERVAL_S
            block.trial_rank = self.find_trial_rank(build_key(block.keys))
        return block.is_trial_due_here(now=now)

    def require_allowed(self, keys, *, outcome):
        """Raise RequestBlockedError for a request that may not be sent."""
        if not self.may_send(keys):
            raise self.build_error(self.find(keys), outcome=outcome)

    def build_error(self, block, *, outcome=Outcome.UNKNOWN):
        """Return the error of a request that falls under a block."""
        remaining = block.trial_at - self.reactor.seconds()
        return RequestBlockedError(
            "upstreams have ended as they answered this request or others "
            "with a part of its prompt",
            outcome=outcome,
            retry_after=max(MIN_RETRY_AFTER_S, remaining),
        )

    def add(self, keys, *, at, failed_trials=0):
        """Block the requests that have some keys.

        Parameters
        ----------
        keys : frozenset of int
        at : float
            Time of the decision or of the last failed trial.
        failed_trials : int, optional

        Returns
        -------
        Block
            An earlier one if that blocks the same requests.
        """
        block = self.find(keys)
        if block is not None:
            if block.keys == keys:
                block.at = max(block.at, at)
                block.failed_trials = max(block.failed_trials, failed_trials)
            return block
        for wider in list(self.blocks.values()):
            if keys < wider.keys:
                self.remove(wider, reason="narrowed")
        block = Block(
            keys=keys,
            at=at,
            failed_trials=failed_trials,
            is_doubtful=self.is_doubtful(keys),
        )
        self.blocks[keys] = block
        eliot.log_message("part:blocked", **describe_block(block))
        if len(self.blocks) > MAX_BLOCKS:
            self.remove(next(iter(self.blocks.values())), reason="too many")
        self.on_block(block)
        return block

    def remove(self, block, *, reason):
        """Let the requests with these keys through again."""
        if self.blocks.pop(block.keys, None) is not None:
            eliot.log_message(
                "part:unblocked", reason=reason, **describe_block(block)
            )


def describe_block(block):
    """Return the fields of a block for a log line."""
    return {
        "parts": [format_hash(key) for key in sorted(block.keys)],
        "failed_trials": block.failed_trials,
        "is_doubtful": block.is_doubtful,
    }
