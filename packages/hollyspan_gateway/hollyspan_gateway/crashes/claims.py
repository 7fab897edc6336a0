"""Claims in the store to the trials of blocks."""

import json

import eliot
from twisted.internet import defer

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import StoreUnavailableError

from .records import build_key
from .records import CLAIMS_PREFIX

__all__ = ["TrialClaims"]

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

    async def acquire(self, block):
        """Claim the next trial of a block.

        Returns
        -------
        bool or None
            False if another gateway has claimed it, None without the store.
        """
        if not self.has_store():
            return None
        work = defer.ensureDeferred(self.write(block))
        work.addTimeout(CLAIM_TIMEOUT_S, self.gateway.reactor)
        try:
            return await work
        except (StoreUnavailableError, defer.TimeoutError) as error:
            self.unavailable_until = (
                self.gateway.reactor.seconds() + STORE_RETRY_S
            )
            eliot.log_message("part:trial_not_claimed", reason=repr(error))
            return None

    async def write(self, block):
        store = self.gateway.store
        key = build_key(block.keys, prefix=CLAIMS_PREFIX)
        claim = {
            "gateway": self.gateway.peers.identifier,
            "claimed_at": self.gateway.wall_clock(),
            "trials": block.trial_count,
        }
        contents = {key: json.dumps(claim).encode()}
        commit = await store.change(contents, {key: 0})
        entry = commit.found.get(key)
        if not commit.succeeded and entry and not self.holds(entry, block):
            commit = await store.change(contents, {key: entry.revision})
        return commit.succeeded

    def holds(self, entry, block):
        """Return whether a claim keeps this gateway from the next trial."""
        try:
            content = parse_document(entry.content)
            gateway = content["gateway"]
            age = self.gateway.wall_clock() - float(content["claimed_at"])
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
        return (
            trials >= block.trial_count
            and max(age, now - seen_at) < CLAIM_EXPIRY_S
        )

    def release(self, block):
        """Give up a claim that was not used."""
        defer.ensureDeferred(self.erase(block)).addErrback(eliot.write_failure)

    async def erase(self, block):
        try:
            await self.gateway.store.remove(
                [build_key(block.keys, prefix=CLAIMS_PREFIX)]
            )
        except StoreUnavailableError as error:
            # It expires.
            eliot.log_message("part:not_removed", reason=error.message)
