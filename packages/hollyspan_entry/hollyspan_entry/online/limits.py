"""Limits on the requests of a workspace at this daemon."""

import contextlib
import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import RateLimitError
from hollyspan_policy.admission import WorkspaceLimiter
from hollyspan_policy.admission import WorkspaceShares

__all__ = ["WorkspaceLimits"]

# Requests in flight per slot above which each workspace is limited to its
# share.
MAX_REQUESTS_PER_SLOT = 4
MIN_CAPACITY_REQUESTS = 16
SHARE_RETRY_AFTER_S = 1.0


class WorkspaceLimits:
    """Enforces the rate, concurrency and share limits of workspaces.

    Parameters
    ----------
    runtime : Runtime
    """

    __slots__ = ("runtime", "limiters", "shares")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.limiters = {}
        self.shares = WorkspaceShares(capacity=MIN_CAPACITY_REQUESTS)

    @contextlib.contextmanager
    def admit(self, workspace):
        """Admit a request and count it as in flight within the context.

        Parameters
        ----------
        workspace : str

        Raises
        ------
        RateLimitError
            The workspace exceeds its request rate or its limit of requests
            in flight.
        OverloadedError
            This daemon is full and the workspace has used up its share.
        """
        limiter = self.get_limiter(workspace)
        wait = limiter.admit(now=time.monotonic())
        if wait:
            raise RateLimitError(
                "the workspace exceeds its limits", retry_after=wait
            )
        self.shares.capacity = self.count_capacity()
        try:
            if not self.shares.admit(workspace):
                raise OverloadedError(
                    "the workspace has used up its share of this instance",
                    retry_after=SHARE_RETRY_AFTER_S,
                )
            try:
                yield
            finally:
                self.shares.release(workspace)
        finally:
            limiter.release()

    def get_limiter(self, workspace):
        """Return the limiter of a workspace with its current limits."""
        configuration = self.runtime.configurations.current
        scope = Scope(workspace=workspace)
        now = time.time()
        rate, max_in_flight = (
            configuration.get(f"workspace.{name}", scope=scope, now=now)
            for name in ("requests_per_second", "concurrent_requests")
        )
        limiter = self.limiters.get(workspace)
        if limiter is None:
            limiter = self.limiters[workspace] = WorkspaceLimiter(
                rate=rate, max_in_flight=max_in_flight, now=time.monotonic()
            )
        limiter.rate = rate
        limiter.max_in_flight = max_in_flight
        return limiter

    def count_capacity(self):
        """Return the number of requests that may be in flight."""
        settings = self.runtime.settings
        slots = sum(
            upstream.slots
            for upstream in self.runtime.upstreams.by_name.values()
            if upstream.data_centre == settings.data_centre
        )
        return max(MIN_CAPACITY_REQUESTS, slots * MAX_REQUESTS_PER_SLOT)
