"""Joining of requests under one key."""

import time

from twisted.internet import defer

from hollyspan_core.errors import DeadlineError
from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import Outcome

from .run import OnceRun

__all__ = ["run_once"]


async def run_once(*, runtime, runs, name, digest, perform, resume, deadline):
    """Run a request at most once and return its answer.

    Parameters
    ----------
    runtime : Runtime
    runs : dict
        Runs of this daemon by their keys in the store.
    name : str
        Key in the store.
    digest : str
    perform, resume : callable
        See OnceRun.
    deadline : float
        Monotonic seconds.

    Returns
    -------
    Answer

    Raises
    ------
    HollyspanError
    """
    run = runs.get(name)
    if run is None:
        run = start_run(
            runs,
            OnceRun(
                runtime=runtime,
                name=name,
                digest=digest,
                perform=perform,
                resume=resume,
                deadline=deadline,
            ),
        )
    elif run.digest != digest:
        raise IdempotencyMismatchError(
            "the Idempotency-Key was used with another request",
            outcome=Outcome.UNKNOWN,
        )
    waiter = run.wait()
    waiter.addTimeout(
        max(0.0, deadline - time.monotonic()),
        runtime.reactor,
        onTimeoutCancel=report_timeout,
    )
    return await waiter


def start_run(runs, run):
    """Start a run that goes on without its caller."""
    runs[run.name] = run

    def forget(_):
        runs.pop(run.name, None)

    defer.ensureDeferred(run.execute()).addBoth(forget)
    return run


def report_timeout(result, seconds):
    raise DeadlineError("the deadline has passed")
