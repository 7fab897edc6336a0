"""Claims in the store to the trials of blocks."""

import json

import eliot
from twisted.internet import defer

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import StoreUnavailableError

from .records import build_key
from .records import CLAIMS_PREFIX

__all__ = ["CLAIM_TIMEOUT_S", "TrialClaims"]

# Time of an attempt to claim a trial, after which the store counts as lost,
# and for which it is not asked again then.
CLAIM_TIMEOUT_S = 1.0
STORE_RETRY_S = 5.0
# Age from which the claim of a gateway that is gone does not hold: longer than
# a trial and its check.
CLAIM_EXPIRY_S = 5.0
# Limit on the claims of others that are remembered.
MAX_SEEN_CLAIMS = 64


class TrialClaims:
    """Claims trials, so that one gateway makes each.

    Parameters
    ----------
    gateway : Gateway

    Attributes
    ----------
    seen : dict
        (revision, time) of the first sight of another gateway's claim, by its
        key.
    unavailable_until : float
        Time until which the store is not asked, reactor seconds.
    """

    __slots__ = ("gateway", "seen", "unavailable_until")

    def __init__(self, *, gateway):
        self.gateway = gateway
        self.seen = {}
        self.unavailable_until = 0.0

    def has_store(self):
        """Return whether claims can be written, as far as is known."""
        return self.gateway.reactor.seconds() >= self.unavailable_until

    async def acquire(self, blocks):
        """Claim the next trial of some blocks at once.

        Returns
        -------
        bool or None
            False if another gateway has claimed one, None without the store.
        """
        if not self.has_store():
            return None
        work = defer.ensureDeferred(self.write(blocks))
        work.addTimeout(CLAIM_TIMEOUT_S, self.gateway.reactor)
        try:
            return await work
        except (StoreUnavailableError, defer.TimeoutError) as error:
            self.unavailable_until = (
                self.gateway.reactor.seconds() + STORE_RETRY_S
            )
            eliot.log_message("part:trial_not_claimed", reason=repr(error))
            return None

    async def write(self, blocks):
        """Write all claims or none; return whether they were written."""
        store = self.gateway.store
        by_key = {
            build_key(block.keys, prefix=CLAIMS_PREFIX): block
            for block in blocks
        }
        contents = {
            key: self.build_claim(block) for key, block in by_key.items()
        }
        expected = dict.fromkeys(contents, 0)
        commit = await store.change(contents, expected)
        if not commit.succeeded and commit.found:
            for key, entry in commit.found.items():
                if self.holds(entry, by_key[key]):
                    return False
                expected[key] = entry.revision
            commit = await store.change(contents, expected)
        return commit.succeeded

    def build_claim(self, block):
        claim = {
            "gateway": self.gateway.peers.identifier,
            "claimed_at": self.gateway.wall_clock(),
            "trials": block.trial_count,
        }
        return json.dumps(claim).encode()

    def holds(self, entry, block):
        """Return whether a claim keeps this gateway from the next trial."""
        try:
            content = parse_document(entry.content)
            gateway = content["gateway"]
            trials = int(content["trials"])
        except (ArithmeticError, LookupError, TypeError, ValueError) as error:
            eliot.log_message(
                "part:unreadable_record", key=entry.key, reason=repr(error)
            )
            return False
        if gateway == self.gateway.peers.identifier:
            return False
        now = self.gateway.reactor.seconds()
        revision, seen_at = self.seen.pop(entry.key, (0, now))
        if revision != entry.revision:
            seen_at = now
        self.seen[entry.key] = entry.revision, seen_at
        if len(self.seen) > MAX_SEEN_CLAIMS:
            del self.seen[next(iter(self.seen))]
        # By this clock alone, since those of machines differ.
        return trials >= block.trial_count and now - seen_at < CLAIM_EXPIRY_S

    def release(self, blocks):
        """Give up a claim that was not used."""
        defer.ensureDeferred(self.erase(blocks)).addErrback(
            eliot.write_failure
        )

    async def erase(self, blocks):
        keys = [
            build_key(block.keys, prefix=CLAIMS_PREFIX) for block in blocks
        ]
        try:
            await self.gateway.store.remove(keys)
        except StoreUnavailableError as error:
            # It expires.
            eliot.log_message("part:not_removed", reason=error.message)
