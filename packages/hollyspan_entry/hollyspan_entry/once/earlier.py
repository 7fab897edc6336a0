"""Answers of earlier copies of a request."""

import time

from twisted.internet import task

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreUnavailableError

from .record import OnceRecord

__all__ = ["follow_earlier"]

POLL_DELAYS = (0.1, 0.2, 0.4)
LONGEST_POLL_SECONDS = 1.0


async def follow_earlier(run, entry):
    """Return the answer of an earlier copy; never run the request again.

    Parameters
    ----------
    run : OnceRun
    entry : Entry
        What the store holds.

    Returns
    -------
    Answer

    Raises
    ------
    IdempotencyMismatchError
        The earlier copy had another body.
    OutcomeUnknownError
        The answer of the earlier copy cannot be had.

    Notes
    -----
    While the daemon that runs the earlier copy is heard, its answer is
    waited for. Else its stream is resumed at the upstream in the record.
    """
    delays = iter(POLL_DELAYS)
    while True:
        record = OnceRecord.decode(entry.content)
        if record.digest != run.digest:
            raise IdempotencyMismatchError(
                "the Idempotency-Key was used with another request",
                outcome=Outcome.UNKNOWN,
            )
        if record.answer is not None:
            return record.answer
        if not is_holder_live(run.runtime, record):
            return await resume_earlier(run, record, entry)
        if time.monotonic() >= run.deadline:
            raise OutcomeUnknownError("an earlier copy is still running")
        await task.deferLater(
            run.runtime.reactor, next(delays, LONGEST_POLL_SECONDS)
        )
        entry = await run.read()
        if entry is None:
            raise OutcomeUnknownError("the earlier copy cannot be followed")


def is_holder_live(runtime, record):
    """Return whether another daemon is heard that runs the request."""
    if record.instance == runtime.settings.instance:
        return False
    live = runtime.members.list_live(now=time.monotonic(), leaving=True)
    return any(
        member.instance == record.instance
        and member.incarnation == record.incarnation
        for member in live
    )


async def resume_earlier(run, record, entry):
    """Take a record over and resume the stream that it names."""
    if run.resume is None or record.stream is None:
        raise OutcomeUnknownError("an earlier copy may have run")
    record.instance = run.runtime.settings.instance
    record.incarnation = run.runtime.incarnation
    run.entry = entry
    try:
        await run.write(record)
        return await run.resume(record)
    except (StoreConflictError, StoreUnavailableError) as error:
        raise OutcomeUnknownError(
            "the earlier copy cannot be taken over"
        ) from error
    except HollyspanError as error:
        raise OutcomeUnknownError(
            "an earlier copy may have run; its answer is lost"
        ) from error
