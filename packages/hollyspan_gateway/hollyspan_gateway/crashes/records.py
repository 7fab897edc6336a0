"""Blocks in the store, for gateways that start or hear no peer."""

import json

import eliot
from twisted.internet import defer

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.ownership import choose_owner
from hollyspan_policy.ownership import rank_owners

from ..clock import wait
from ..store import Mirror

__all__ = ["BlockRecords", "CLAIMS_PREFIX", "build_key"]

BLOCKS_PREFIX = "hs/x/"
# Apart from the blocks, since the previous build reads all entries below their
# prefix as blocks.
CLAIMS_PREFIX = "hs/y/"
# Delay of the readers of the store that write a block in place of its owner.
SUBSTITUTE_DELAY_S = 2.0
RETRY_DELAY_S = 1.0
# A block under which no trial has failed for this long is dropped.
MAX_BLOCK_AGE_S = 24 * 3600.0
# Below the 20 s of history that the store keeps for a watch that waits: peers
# tell of blocks, too.
WATCH_WAIT_S = 18.0
# Time after the last message of a peer in which it keeps its place in the
# order of trials: longer than losses of heartbeats last.
PLACE_EXPIRY_S = 30.0


class BlockRecords:
    """Keeps the blocks in the store and applies those of others.

    Parameters
    ----------
    gateway : Gateway
    guard : RequestGuard

    Attributes
    ----------
    mirror : Mirror
    seen : dict
        Keys of each block that was seen in the store, by its entry's key.
    """

    __slots__ = ("gateway", "guard", "mirror", "seen")

    def __init__(self, *, gateway, guard):
        self.gateway = gateway
        self.guard = guard
        self.mirror = Mirror(
            store=gateway.store,
            reactor=gateway.reactor,
            prefix=BLOCKS_PREFIX,
            on_change=self.apply,
            must_watch=gateway.store_reading.must_watch,
            choose_wait=lambda *, is_first: WATCH_WAIT_S,
        )
        self.seen = {}

    def start(self):
        """Start to follow the blocks in the store."""
        self.mirror.start()

    def store(self, block):
        """Write a block, or leave it to the gateway that owns it."""
        self.start_work(self.write(block))

    def update(self, block):
        """Write a block again after a trial here that it has outlasted."""
        self.start_work(self.put(block))

    def replace(self, block, narrower):
        """Write a narrower block and remove the one that it replaces."""
        self.start_work(self.write_and_erase(block, narrower))

    def remove(self, block):
        """Remove a block that a survival seen here has refuted."""
        self.start_work(self.erase(build_key(block.keys)))

    def withdraw(self, keys):
        """Remove a block that is not in force here and was survived."""
        self.start_work(self.erase_refuted(keys))

    def start_work(self, work):
        defer.ensureDeferred(work).addErrback(eliot.write_failure)

    async def write(self, block):
        key = build_key(block.keys)
        if not self.is_owner(key):
            await wait(self.gateway.reactor, SUBSTITUTE_DELAY_S)
            if key in self.mirror.entries or not self.mirror.must_watch():
                return
        await self.put(block)

    async def write_and_erase(self, block, narrower):
        # In this order, since a removal alone withdraws the block.
        await self.put(narrower)
        await self.erase(build_key(block.keys))

    async def put(self, block):
        key = build_key(block.keys)
        age = self.gateway.reactor.seconds() - block.at
        content = {
            "parts": sorted(block.keys),
            "blocked_at": self.gateway.wall_clock() - age,
            "failed_trials": block.failed_trials,
            "void_trials": block.void_trials,
        }
        while block.keys in self.guard.blocks:
            try:
                await self.gateway.store.put(key, json.dumps(content).encode())
                return
            except StoreUnavailableError as error:
                eliot.log_message("part:not_stored", reason=error.message)
                await wait(self.gateway.reactor, RETRY_DELAY_S)

    async def erase_refuted(self, keys):
        key = build_key(keys)
        if not self.is_owner(key):
            await wait(self.gateway.reactor, SUBSTITUTE_DELAY_S)
            if key not in self.mirror.entries or not self.mirror.must_watch():
                return
        if keys not in self.guard.blocks:
            await self.erase(key)

    async def erase(self, key):
        claim = key.replace(BLOCKS_PREFIX, CLAIMS_PREFIX, 1)
        while True:
            try:
                await self.gateway.store.remove([key, claim])
                return
            except StoreUnavailableError as error:
                eliot.log_message("part:not_removed", reason=error.message)
                await wait(self.gateway.reactor, RETRY_DELAY_S)

    def is_owner(self, key):
        """Return whether this gateway owns the record of a block."""
        peers = self.gateway.peers
        able = [
            peer.identifier
            for peer in peers.list_live()
            if not peer.is_cut_off
        ]
        if not self.gateway.reach.is_confirmed:
            able.append(peers.identifier)
        return choose_owner(key, able) == peers.identifier

    def find_trial_share(self, keys):
        """Find the place of this gateway in the order of a block's trials.

        Parameters
        ----------
        keys : frozenset of int
            Those of the block, or none for several blocks at once.

        Returns
        -------
        float or None
            Share of the gateways that come before this one; None if it
            reaches no upstream.

        Notes
        -----
        Gateways that miss a few heartbeats of different peers would take the
        same place, and begin at once without the store. Those that do not try
        leave their turn unused.
        """
        gateway = self.gateway
        if gateway.reach.is_confirmed:
            return None
        now = gateway.reactor.seconds()
        members = [
            peer.identifier
            for peer in gateway.peers.peers.values()
            if peer.last_seen is not None
            and now - peer.last_seen < PLACE_EXPIRY_S
        ]
        members.append(gateway.peers.identifier)
        ranked = rank_owners(build_key(keys), members)
        return ranked.index(gateway.peers.identifier) / len(ranked)

    def apply(self, mirror):
        """Apply the blocks in the store, and withdraw those removed."""
        now = self.gateway.reactor.seconds()
        stored = {}
        for key, entry in mirror.entries.items():
            try:
                content = parse_document(entry.content)
                keys = frozenset(int(each) for each in content["parts"])
                age = self.gateway.wall_clock() - float(content["blocked_at"])
                failed_trials = int(content["failed_trials"])
                # The previous build does not write it.
                void_trials = int(content.get("void_trials", 0))
            except (
                ArithmeticError,
                LookupError,
                TypeError,
                ValueError,
            ) as error:
                eliot.log_message(
                    "part:unreadable_record", key=key, reason=repr(error)
                )
                continue
            if age > MAX_BLOCK_AGE_S:
                if self.is_owner(key):
                    self.start_work(self.erase(key))
                continue
            at = now - max(0.0, age)
            stored[key] = keys
            self.guard.apply_block(
                keys,
                at=at,
                failed_trials=failed_trials,
                void_trials=void_trials,
            )
        for key, keys in self.seen.items():
            block = self.guard.blocks.get(keys)
            if key not in stored and block is not None:
                self.guard.apply_removal(block)
        self.seen = stored


def build_key(keys, *, prefix=BLOCKS_PREFIX):
    """Return the key of a block, or of a claim to its trial, in the store."""
    return f"{prefix}{hash_parts(*map(str, sorted(keys))):016x}"
