"""Joining of requests with the same idempotency key."""

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
        Key of the record in the store.
    digest : str
        Digest of the request.
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
        The request failed, its deadline has passed, or the key belongs to
        another request.
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
        onTimeoutCancel=raise_deadline_error,
    )
    return await waiter


def start_run(runs, run):
    """Start a run that continues when its caller disconnects."""
    runs[run.name] = run

    def remove_run(_):
        runs.pop(run.name, None)

    defer.ensureDeferred(run.execute()).addBoth(remove_run)
    return run


def raise_deadline_error(result, seconds):
    raise DeadlineError("the deadline has passed")
