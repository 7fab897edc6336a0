"""Search for the version that began a stream which no gateway remembers."""

import eliot
from twisted.internet import defer

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.hashing import format_hash
from hollyspan_policy.streams import choose_only_version

from ..clock import wait
from .records import build_prefix
from .records import parse_version

__all__ = ["VersionSearch"]

# Time for which requests are gathered before a read, and its timeout, several
# round trips between regions.
GATHERING_DELAY_S = 0.02
READ_TIMEOUT_S = 0.4
# Time after a read that did not tell the version in which requests of its
# route are refused without another.
UNKNOWN_TTL_S = 1.0


class VersionSearch:
    """Reads the records of versions for requests that resume streams.

    Parameters
    ----------
    gateway : Gateway
    records : VersionRecords

    Attributes
    ----------
    gathering : dict
        List of Deferred of the requests that wait for the next read, by the
        prefix of the route's records.
    unknown_until : dict
        Time until which the version counts as not known, by the same prefix.

    Notes
    -----
    A read answers only requests that came before it: a version whose record
    is written later has begun none of their streams.
    """

    __slots__ = ("gateway", "records", "gathering", "unknown_until")

    def __init__(self, *, gateway, records):
        self.gateway = gateway
        self.records = records
        self.gathering = {}
        self.unknown_until = {}

    async def find(self, route):
        """Find the version that has begun all streams of a route.

        Parameters
        ----------
        route : Route

        Returns
        -------
        int or None
            Key of the version; None if there are several or the store does
            not answer.
        """
        now = self.gateway.reactor.seconds()
        prefix = build_prefix(route)
        if (
            not self.gateway.upstreams_mirror.is_connected
            or now < self.unknown_until.get(prefix, 0.0)
        ):
            return None
        answer = defer.Deferred()
        if prefix in self.gathering:
            self.gathering[prefix].append(answer)
        else:
            self.gathering[prefix] = [answer]
            work = defer.ensureDeferred(self.answer_waiting(prefix))
            work.addErrback(eliot.write_failure)
        return await answer

    async def answer_waiting(self, prefix):
        """Read the records for the requests that have come before the read."""
        await wait(self.gateway.reactor, GATHERING_DELAY_S)
        waiting = self.gathering.pop(prefix)
        version = await self.read_only_version(prefix)
        if version is None:
            now = self.gateway.reactor.seconds()
            self.unknown_until = {
                each: until
                for each, until in self.unknown_until.items()
                if until > now
            }
            self.unknown_until[prefix] = now + UNKNOWN_TTL_S
        for answer in waiting:
            if not answer.called:
                answer.callback(version)

    async def read_only_version(self, prefix):
        reading = defer.ensureDeferred(self.gateway.store.list(prefix))
        reading.addTimeout(READ_TIMEOUT_S, self.gateway.reactor)
        try:
            page = await reading
            recorded = {parse_version(entry.key) for entry in page.entries}
        except (
            StoreUnavailableError,
            defer.TimeoutError,
            ValueError,
        ) as error:
            eliot.log_message(
                "stream:versions_not_read", prefix=prefix, reason=repr(error)
            )
            return None
        served = set(self.records.list_served())
        for entry in page.entries:
            if entry.key not in served:
                self.records.note_gone(entry.key)
        version = choose_only_version(
            recorded,
            [parse_version(key) for key in served if key.startswith(prefix)],
        )
        eliot.log_message(
            "stream:versions_read",
            prefix=prefix,
            recorded=[format_hash(each) for each in sorted(recorded)],
            version=None if version is None else format_hash(version),
        )
        return version
