"""Blocked requests and the trials of these blocks."""

import eliot

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import RequestBlockedError
from hollyspan_policy.crashes import Block
from hollyspan_policy.crashes import list_matching_blocks
from hollyspan_policy.hashing import format_hash

__all__ = ["BlockList", "describe_block"]

# Limit on the memory; the oldest block is forgotten.
MAX_BLOCKS = 64
# Shortest retry-after time of a refused request.
MIN_RETRY_AFTER_S = 1.0


class BlockList:
    """Blocks in force at one gateway.

    Parameters
    ----------
    reactor : twisted reactor
    may_try : callable
        Called with the blocks that a request falls under and its identifier,
        returns whether it may be let through as a trial of all of them.
    is_doubtful : callable
        Called with keys, returns whether the upstreams that ended with them
        may have ended of another cause.
    on_block : callable
        Called with each new Block.
    on_unblock : callable
        Called with each Block that ends and the `reason`.

    Attributes
    ----------
    blocks : dict
        Block by its keys, the oldest first.
    """

    __slots__ = (
        "reactor",
        "may_try",
        "is_doubtful",
        "on_block",
        "on_unblock",
        "blocks",
    )

    def __init__(self, *, reactor, may_try, is_doubtful, on_block, on_unblock):
        self.reactor = reactor
        self.may_try = may_try
        self.is_doubtful = is_doubtful
        self.on_block = on_block
        self.on_unblock = on_unblock
        self.blocks = {}

    def find(self, keys):
        """Return the block that a request waits for longest, or None."""
        return max(
            self.list_matching(keys),
            key=lambda block: block.trial_at,
            default=None,
        )

    def list_matching(self, keys):
        """Return the blocks that a request falls under."""
        return list_matching_blocks(self.blocks.values(), keys)

    def may_send(self, keys, *, request=None):
        """Return whether a request may be sent to an upstream now.

        Parameters
        ----------
        keys : tuple of int
        request : str, optional
            Its identifier; without one it cannot be a trial.
        """
        if not self.blocks:
            return True
        blocks = self.list_matching(keys)
        if not blocks:
            return True
        return request is not None and self.may_try(blocks, request)

    def require_allowed(self, keys, *, outcome, request=None):
        """Raise RequestBlockedError for a request that may not be sent."""
        if not self.may_send(keys, request=request):
            raise self.build_error(keys, outcome=outcome)

    def build_error(self, keys, *, outcome=Outcome.UNKNOWN):
        """Return the error of a request that falls under a block."""
        remaining = self.find(keys).trial_at - self.reactor.seconds()
        return RequestBlockedError(
            "upstreams have ended as they answered this request or others "
            "with a part of its prompt",
            outcome=outcome,
            retry_after=max(MIN_RETRY_AFTER_S, remaining),
        )

    def add(self, keys, *, at, failed_trials=0, void_trials=0):
        """Block the requests that have some keys.

        Parameters
        ----------
        keys : frozenset of int
        at : float
            Time of the decision or of the last trial that it has outlasted.
        failed_trials, void_trials : int, optional

        Returns
        -------
        Block
            An earlier one if that blocks the same requests.
        """
        block = self.find(keys)
        if block is not None:
            if block.keys == keys:
                block.merge(
                    at=at,
                    failed_trials=failed_trials,
                    void_trials=void_trials,
                )
            return block
        for wider in list(self.blocks.values()):
            if keys < wider.keys:
                self.remove(wider, reason="narrowed")
        block = Block(
            keys=keys,
            at=at,
            failed_trials=failed_trials,
            void_trials=void_trials,
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
                "part:unblocked",
                reason=reason,
                age=self.reactor.seconds() - block.decided_at,
                **describe_block(block),
            )
            self.on_unblock(block, reason=reason)


def describe_block(block):
    """Return the fields of a block for a log line."""
    return {
        "parts": [format_hash(key) for key in sorted(block.keys)],
        "failed_trials": block.failed_trials,
        "void_trials": block.void_trials,
        "is_doubtful": block.is_doubtful,
    }
