"""State of the online path of one daemon."""

from hollyspan_policy.retries import RetryBudget

from .limits import Limits

__all__ = ["OnlineState"]

SMOOTHING = 0.05
FIRST_SERVICE_SECONDS = 1.0
FIRST_BUDGET_RATIO = 0.1


class OnlineState:
    """What the requests of one daemon share.

    Parameters
    ----------
    runtime : Runtime

    Attributes
    ----------
    limits : Limits
    budget : RetryBudget
    service_seconds : dict
        Mean time that a request holds a slot, by service.
    in_flight : int
        Requests that are being answered.
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
        self.limits = Limits(runtime=runtime)
        self.budget = RetryBudget(ratio=FIRST_BUDGET_RATIO)
        self.service_seconds = {}
        self.in_flight = 0
        self.runs = {}

    def get_service_seconds(self, service):
        """Return the mean time that a request holds a slot."""
        return self.service_seconds.get(service, FIRST_SERVICE_SECONDS)

    def observe_service(self, service, seconds):
        """Take in the time that one request held a slot."""
        mean = self.get_service_seconds(service)
        mean += SMOOTHING * (seconds - mean)
        self.service_seconds[service] = mean
