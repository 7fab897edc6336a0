"""Acceptance of jobs under the limits on waiting tokens."""

import eliot

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import QuotaExceededError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_policy.hashing import hash_parts
from hollyspan_policy.quota import choose_reservation
from hollyspan_policy.quota import compute_rooms
from hollyspan_policy.quota import estimate_retry_after

from .quota_records import build_counters_prefix
from .quota_records import build_quota_identifier
from .quota_records import build_share_key
from .quota_records import decode_counters
from .quota_records import encode_share
from .quota_records import SHARE_COUNT
from .record_encoding import RecordEncoding
from .records import build_job_key
from .records import encode_job
from .reservation import Reservation

__all__ = ["QuotaLedger"]

# Writes of one job that may lose against other gateways. With eight shares,
# losing more than a few times means that the store is too slow for the burst.
MAX_ATTEMPTS = 6
# Time after a change of a limit for which counters are read as of now: other
# gateways may have accepted jobs under the former limit until then.
UNSETTLED_LIMIT_S = 10.0
# Shortest and longest span over which the rate of releases is measured.
MIN_RATE_SPAN_S = 1.0
MAX_RATE_SPAN_S = 5.0


class QuotaLedger:
    """Creates the records of jobs whose route limits the waiting tokens.

    Parameters
    ----------
    gateway : Gateway
    share_count : int, optional
        Number of shares of a limit, the same at all gateways.

    Attributes
    ----------
    limits : dict
        Limit and the time of its last change, by name of the route.
    samples : dict
        Earlier sum of released tokens and its time, by quota.
    rates : dict
        Tokens per second that were last measured as released, by quota.

    Notes
    -----
    The tokens are counted in the transaction that creates the job's record,
    so that a count is never kept for a job that does not exist. Workers count
    what has ended in the transactions that create the results. The difference
    of both is what waits; it is too large while a view misses the newest
    releases, and never too small. Each workspace has the limit for itself.
    """

    __slots__ = ("gateway", "share_count", "limits", "samples", "rates")

    def __init__(self, *, gateway, share_count=SHARE_COUNT):
        self.gateway = gateway
        self.share_count = share_count
        self.limits = {}
        self.samples = {}
        self.rates = {}

    def note_limits(self, routes):
        """Note when the limits of a new configuration differ.

        Parameters
        ----------
        routes : iterable of Route
        """
        now = self.gateway.reactor.seconds()
        for route in routes:
            limit = route.max_waiting_tokens
            if self.limits.get(route.name, (0, now))[0] != limit:
                self.limits[route.name] = (limit, now)

    async def create_record(self, job, route, *, on_encoded=None):
        """Create the record of a job if its tokens fit under the limit.

        Parameters
        ----------
        job : Job
            This sets its reservation.
        route : Route
            With a limit on the waiting tokens.
        on_encoded : callable, optional
            Called without arguments once bodies are needed no longer.

        Returns
        -------
        bool
            False when the record exists already.

        Raises
        ------
        QuotaExceededError
            The tokens do not fit now; nothing was stored.
        StoreUnavailableError
            The job was not stored, or it is unknown whether it was.
        """
        quota = build_quota_identifier(route.name, job.workspace)
        may_be_stale = self.is_limit_settled(route)
        entries = await self.read_counters(quota, may_be_stale=may_be_stale)
        encoding = None
        for _ in range(MAX_ATTEMPTS):
            shares, revisions, released = decode_counters(
                entries.values(), quota=quota, share_count=self.share_count
            )
            self.measure_rate(quota, released)
            chosen = choose_reservation(
                shares,
                released=released,
                limit=route.max_waiting_tokens,
                tokens=job.count_tokens(),
                preferred=self.choose_preferred_share(quota),
            )
            if chosen is not None:
                index, changed = chosen
                job.reservation = Reservation(quota=quota, share=index)
                if encoding is None:
                    encoding = RecordEncoding(items=job.items)
                    if on_encoded is not None:
                        on_encoded()
                commit = await self.write(job, encoding, changed, revisions)
                if commit.succeeded:
                    return True
                if build_job_key(job.identifier) in commit.found:
                    return False
                entries.update(commit.found)
            elif may_be_stale:
                may_be_stale = False
                entries = await self.read_counters(quota)
            else:
                rooms = compute_rooms(
                    shares, released=released, limit=route.max_waiting_tokens
                )
                return await self.refuse(job, quota, rooms=rooms)
        raise StoreUnavailableError(
            "other gateways have changed the counters each time",
            outcome=Outcome.NOT_RUN,
            retry_after=estimate_retry_after(
                0, tokens_per_second=None, key=job.identifier
            ),
        )

    async def read_counters(self, quota, *, may_be_stale=False):
        """Return the entries of a route's counters by key.

        Raises
        ------
        StoreUnavailableError
            They cannot be read now; nothing was stored.
        """
        try:
            page = await self.gateway.store.list(
                build_counters_prefix(quota), may_be_stale=may_be_stale
            )
        except StoreUnavailableError as error:
            raise StoreUnavailableError(
                f"the counters cannot be read: {error.message}",
                outcome=Outcome.NOT_RUN,
            ) from error
        return {entry.key: entry for entry in page.entries}

    async def write(self, job, encoding, changed, revisions):
        """Write a job's record together with the changed shares."""
        quota = job.reservation.quota
        contents = encode_job(job, encoding=encoding)
        expected = dict.fromkeys(contents, 0)
        for index, share in changed.items():
            key = build_share_key(quota, index)
            contents[key] = encode_share(share)
            expected[key] = revisions[index]
        return await self.gateway.store.change(contents, expected)

    async def refuse(self, job, quota, *, rooms):
        """Raise QuotaExceededError unless the job was accepted before."""
        key = build_job_key(job.identifier)
        if await self.gateway.store.get(key) is not None:
            return False
        missing = job.count_tokens() - sum(rooms)
        rate = self.rates.get(quota)
        eliot.log_message(
            "job:over_limit",
            job=job.identifier,
            tokens=job.count_tokens(),
            missing=missing,
            tokens_per_second=rate,
        )
        raise QuotaExceededError(
            "the tokens that may wait on the route are taken",
            retry_after=estimate_retry_after(
                missing, tokens_per_second=rate, key=job.identifier
            ),
        )

    def choose_preferred_share(self, quota):
        """Return the index of the share that this gateway uses first."""
        instance = self.gateway.settings.instance
        return hash_parts(quota, instance) % self.share_count

    def is_limit_settled(self, route):
        """Return whether all gateways have used this limit for a while."""
        if route.name not in self.limits:
            return False
        elapsed = self.gateway.reactor.seconds() - self.limits[route.name][1]
        return elapsed >= UNSETTLED_LIMIT_S

    def measure_rate(self, quota, released):
        """Measure the rate at which tokens are released."""
        now, total = self.gateway.reactor.seconds(), sum(released)
        started, initial = self.samples.setdefault(quota, (now, total))
        seconds = now - started
        if seconds >= MIN_RATE_SPAN_S and total > initial:
            self.rates[quota] = (total - initial) / seconds
        elif seconds >= MAX_RATE_SPAN_S:
            self.rates[quota] = 0.0
        if seconds >= MAX_RATE_SPAN_S:
            self.samples[quota] = (now, total)
