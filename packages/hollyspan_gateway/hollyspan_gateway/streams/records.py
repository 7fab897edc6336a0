"""Versions in the store, for streams that no gateway remembers."""

import json

import eliot
from twisted.internet import defer

from hollyspan_core.documents import parse_document
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.hashing import format_hash
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.streams import choose_write_delay
from hollyspan_policy.streams import is_record_expired

from ..clock import wait
from ..store_reading import DISCOVERY_S

__all__ = ["VersionRecords", "build_prefix", "parse_version"]

VERSIONS_PREFIX = "hs/v/"
# Time for which changes of upstreams and routes are gathered.
UPDATE_DELAY_S = 0.05
# Interval between two choices of the writers after changes of membership,
# which take time for each gateway of the fleet.
REASSIGNMENT_INTERVAL_S = 5.0
RETRY_DELAY_S = 1.0
# Time beyond that for which streams are remembered, after which the removal of
# a record is tried: more than clocks of machines differ.
EXPIRY_MARGIN_S = 6.0
# Limit on the memory of versions that are gone; the oldest are forgotten.
MAX_GONE = 1024


class VersionRecords:
    """Records in the store the versions at which streams of a route begin.

    Parameters
    ----------
    gateway : Gateway
    ttl : float
        Time for which gateways remember a stream, seconds.

    Attributes
    ----------
    served : set of str
        Keys of the records whose versions serve their routes now.
    is_writer : dict
        Whether this gateway writes a record, by the keys in `served`.
    gone_at : dict
        Time at which a version was seen to be gone, by the record's key, the
        oldest first.

    Notes
    -----
    The record of a version outlasts the gateways. It is written as soon as an
    upstream of the version appears behind a route, and removed when the
    version has been gone for longer than any stream is remembered. A route
    with a single record has begun all its streams at that version.
    """

    __slots__ = (
        "gateway",
        "ttl",
        "served",
        "is_writer",
        "gone_at",
        "update_call",
        "reassignment_call",
    )

    def __init__(self, *, gateway, ttl):
        self.gateway = gateway
        self.ttl = ttl
        self.served = set()
        self.is_writer = {}
        self.gone_at = {}
        self.update_call = None
        self.reassignment_call = None

    def schedule_update(self):
        """Update the records soon: upstreams or routes have changed."""
        if self.update_call is not None:
            return
        reactor = self.gateway.reactor
        discovered_at = self.gateway.store_reading.started_at + DISCOVERY_S
        delay = max(UPDATE_DELAY_S, discovered_at - reactor.seconds())
        self.update_call = reactor.callLater(delay, self.update)

    def schedule_reassignment(self):
        """Choose the writers again later: the gateways have changed."""
        if self.reassignment_call is None:
            self.reassignment_call = self.gateway.reactor.callLater(
                REASSIGNMENT_INTERVAL_S, self.reassign
            )

    def reassign(self):
        self.reassignment_call = None
        for key, is_writer in list(self.is_writer.items()):
            if not is_writer:
                del self.is_writer[key]
        self.schedule_update()

    def update(self):
        """Write the records of new versions and note those that are gone."""
        self.update_call = None
        served = set(self.list_served())
        for key in self.served - served:
            self.is_writer.pop(key, None)
            self.note_gone(key)
        for key in served - self.served:
            self.gone_at.pop(key, None)
        self.served = served
        for key in served - self.is_writer.keys():
            delay = self.choose_write_delay(key)
            self.is_writer[key] = delay is not None
            if delay is not None:
                start(self.write(key, delay))

    def list_served(self):
        """Yield the keys of the records that have to be in the store."""
        versions = {}
        for upstream in self.gateway.directory.upstreams.values():
            versions.setdefault(upstream.entry.service, set()).add(
                upstream.entry.version_key
            )
        routes = self.gateway.routes
        for route in () if routes is None else routes.list_routes():
            if route.is_resumable:
                prefix = build_prefix(route)
                for service, weight in route.services:
                    if weight > 0:
                        for version in versions.get(service, ()):
                            yield prefix + format_hash(version)

    def choose_write_delay(self, key):
        peers = self.gateway.peers
        return choose_write_delay(
            hash_parts(key),
            peers.identifier,
            [peer.identifier for peer in peers.list_live()],
        )

    async def write(self, key, delay):
        """Write a record after the gateways before this one had the time."""
        await wait(self.gateway.reactor, delay)
        store = self.gateway.store
        # Streams have begun at a version that is gone by now, too.
        while key in self.served or key in self.gone_at:
            content = json.dumps({"recorded_at": self.gateway.wall_clock()})
            try:
                if delay:
                    await store.create({key: content.encode()})
                else:
                    # A new time keeps it from being removed as expired.
                    await store.put(key, content.encode())
                return
            except StoreKeyExistsError:
                return
            except StoreUnavailableError as error:
                eliot.log_message(
                    "stream:version_not_recorded",
                    key=key,
                    reason=error.message,
                )
                await wait(self.gateway.reactor, RETRY_DELAY_S)

    def note_gone(self, key):
        """Remove a record later, unless its version appears again."""
        if key in self.gone_at:
            return
        self.gone_at[key] = self.gateway.reactor.seconds()
        if len(self.gone_at) > MAX_GONE:
            del self.gone_at[next(iter(self.gone_at))]
        self.schedule_expiry(key)

    def schedule_expiry(self, key):
        self.gateway.reactor.callLater(
            self.ttl + EXPIRY_MARGIN_S, lambda: start(self.expire(key))
        )

    async def expire(self, key):
        """Remove the record of a version that has been gone for long."""
        gone_at = self.gone_at.get(key)
        if gone_at is None:
            return
        unserved_seconds = self.gateway.reactor.seconds() - gone_at
        if unserved_seconds < self.ttl:
            # It was back in between, and another call is scheduled.
            return
        try:
            if self.choose_write_delay(key) is not None:
                entry = await self.gateway.store.get(key)
                if entry is not None and key in self.gone_at:
                    age = self.gateway.wall_clock() - read_time(entry)
                    if not is_record_expired(
                        unserved_seconds=unserved_seconds,
                        age=age,
                        ttl=self.ttl,
                    ):
                        self.schedule_expiry(key)
                        return
                    await self.gateway.store.remove_unchanged(entry)
        except StoreUnavailableError as error:
            eliot.log_message(
                "stream:version_not_removed", key=key, reason=error.message
            )
            self.schedule_expiry(key)
            return
        self.gone_at.pop(key, None)


def start(work):
    defer.ensureDeferred(work).addErrback(eliot.write_failure)


def build_prefix(route):
    """Return the prefix of the records of a route's versions."""
    route_key = hash_parts(route.host, route.prefix)
    return f"{VERSIONS_PREFIX}{format_hash(route_key)}/"


def parse_version(key):
    """Return the key of the version from that of its record."""
    return int(key.rpartition("/")[2], 16)


def read_time(entry):
    """Return the Unix time at which a record was written."""
    try:
        return float(parse_document(entry.content)["recorded_at"])
    except (ArithmeticError, LookupError, TypeError, ValueError) as error:
        # Removed like one that has been there for long.
        eliot.log_message(
            "stream:unreadable_record", key=entry.key, reason=repr(error)
        )
        return 0.0
