"""Requests that come while the daemon stops."""

import time

from hollyspan_core.errors import DrainingError
from hollyspan_policy.drain import can_finish

__all__ = ["LAST_ANSWERS_S", "RETRY_AFTER_S", "require_finishable"]

# Time in which a final answer reaches its caller.
LAST_ANSWERS_S = 0.5
# Another daemon can take the request at once; the balancer has to notice the
# stop before the caller's next connection.
RETRY_AFTER_S = 1.0


def require_finishable(runtime, *, deadline):
    """Refuse a request that the daemon may have to cut off.

    Parameters
    ----------
    runtime : Runtime
    deadline : float
        Time at which the request has its final answer at the latest,
        monotonic seconds.

    Raises
    ------
    DrainingError
        The daemon stops and may end before the deadline; nothing was run.
    """
    if runtime.stops_at is None:
        return
    now = time.monotonic()
    if not can_finish(
        seconds_needed=deadline - now + LAST_ANSWERS_S,
        seconds_left=runtime.stops_at - now,
    ):
        raise DrainingError(
            "this instance stops before the deadline of the request",
            retry_after=RETRY_AFTER_S,
        )
