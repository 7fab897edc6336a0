"""Deadlines of requests."""

import time

from twisted.internet import defer

from hollyspan_core.errors import DeadlineError

__all__ = ["run_until"]


async def run_until(work, *, deadline, reactor):
    """Await a coroutine and cancel it at a deadline.

    Parameters
    ----------
    work : coroutine
    deadline : float
        Monotonic seconds.
    reactor : IReactorTime

    Returns
    -------
    object
        What the coroutine returns.

    Raises
    ------
    DeadlineError
        The deadline has passed.
    """
    running = defer.ensureDeferred(work)
    running.addTimeout(
        max(0.0, deadline - time.monotonic()),
        reactor,
        onTimeoutCancel=report_timeout,
    )
    return await running


def report_timeout(result, seconds):
    raise DeadlineError("the deadline has passed")
