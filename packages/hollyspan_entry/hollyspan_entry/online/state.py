"""Shared state of the online requests of one daemon."""

from hollyspan_policy.retries import RetryBudget

from .limits import WorkspaceLimits

__all__ = ["OnlineState"]

SERVICE_TIME_SMOOTHING = 0.05
INITIAL_SERVICE_TIME_S = 1.0
INITIAL_RETRY_BUDGET_RATIO = 0.1


class OnlineState:
    """State shared by the online requests of one daemon.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    limits : WorkspaceLimits
    budget : RetryBudget
    service_seconds : dict
        Mean seconds that a request holds a slot, by service.
    in_flight : int
        Number of requests that are being answered.
    runs : dict
        Running non-idempotent requests by their key in the store.
    """

    __slots__ = (
        "runtime",
        "limits",
        "budget",
        "service_seconds",
        "in_flight",
        "runs",
    )

    def __init__(self, *, runtime):
        self.runtime = runtime
        self.limits = WorkspaceLimits(runtime=runtime)
        self.budget = RetryBudget(ratio=INITIAL_RETRY_BUDGET_RATIO)
        self.service_seconds = {}
        self.in_flight = 0
        self.runs = {}

    def get_service_seconds(self, service):
        """Return the mean seconds that a request holds a slot."""
        return self.service_seconds.get(service, INITIAL_SERVICE_TIME_S)

    def observe_service_time(self, service, seconds):
        """Update the mean with the seconds that a request held a slot."""
        mean = self.get_service_seconds(service)
        mean += SERVICE_TIME_SMOOTHING * (seconds - mean)
        self.service_seconds[service] = mean
