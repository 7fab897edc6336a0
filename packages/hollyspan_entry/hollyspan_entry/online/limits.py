"""Limits on what one workspace may ask of this daemon."""

import contextlib
import time

from hollyspan_core.configuration import Scope
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import RateLimitError
from hollyspan_policy.admission import WorkspaceLimiter
from hollyspan_policy.admission import WorkspaceShares

__all__ = ["Limits"]

# Requests in flight for each slot, above which workspaces are held to
# their shares.
QUEUE_FACTOR = 4
LEAST_CAPACITY = 16
SHARE_RETRY_SECONDS = 1.0


class Limits:
    """Rate, concurrency and share of each workspace.

    Parameters
    ----------
    runtime : Runtime
    """

    __slots__ = ("runtime", "limiters", "shares")

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.limiters = {}
        self.shares = WorkspaceShares(capacity=LEAST_CAPACITY)

    @contextlib.contextmanager
    def admit(self, workspace):
        """Hold a place for one request of a workspace.

        Parameters
        ----------
        workspace : str

        Raises
        ------
        RateLimitError
            The workspace exceeds its rate or its requests in flight.
        OverloadedError
            This daemon is full and the workspace has its share.
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
                    "the workspace has its share of this instance",
                    retry_after=SHARE_RETRY_SECONDS,
                )
            try:
                yield
            finally:
                self.shares.release(workspace)
        finally:
            limiter.release()

    def get_limiter(self, workspace):
        """Return the limiter of a workspace, with the limits in force."""
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
        """Count the requests that this daemon can have in flight."""
        settings = self.runtime.settings
        slots = sum(
            upstream.slots
            for upstream in self.runtime.upstreams.by_name.values()
            if upstream.data_centre == settings.data_centre
        )
        return max(LEAST_CAPACITY, slots * QUEUE_FACTOR)
