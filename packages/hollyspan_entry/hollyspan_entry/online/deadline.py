"""Enforcement of request deadlines."""

import time

from twisted.internet import defer

from hollyspan_core.errors import DeadlineError

__all__ = ["run_until"]


async def run_until(work, *, deadline, reactor):
    """Await a coroutine and cancel it at a deadline.

    Parameters
    ----------
    work : coroutine
        Coroutine to run.
    deadline : float
        Monotonic seconds.
    reactor : IReactorTime

    Returns
    -------
    object
        Result of the coroutine.

    Raises
    ------
    DeadlineError
        The deadline has passed.
    """
    running = defer.ensureDeferred(work)
    running.addTimeout(
        max(0.0, deadline - time.monotonic()),
        reactor,
        onTimeoutCancel=raise_deadline_error,
    )
    return await running


def raise_deadline_error(result, seconds):
    raise DeadlineError("the deadline has passed")
