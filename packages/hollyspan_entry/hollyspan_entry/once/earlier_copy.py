"""Answers from earlier copies of a request."""

import time

from twisted.internet import task

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreUnavailableError

from .record import OnceRecord

__all__ = ["get_earlier_answer"]

POLL_DELAYS_S = (0.1, 0.2, 0.4)
MAX_POLL_DELAY_S = 1.0


async def get_earlier_answer(run, entry):
    """Return the answer of an earlier copy without running the request.

    Parameters
    ----------
    run : OnceRun
    entry : Entry
        Stored record of the earlier copy.

    Returns
    -------
    Answer

    Raises
    ------
    IdempotencyMismatchError
        The earlier copy had another body.
    OutcomeUnknownError
        The answer of the earlier copy cannot be obtained.

    Notes
    -----
    While the daemon that runs the earlier copy is live, this function waits
    for its answer. Otherwise it resumes the stream at the upstream named in
    the record.
    """
    delays = iter(POLL_DELAYS_S)
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
            return await resume_earlier_copy(run, record, entry)
        if time.monotonic() >= run.deadline:
            raise OutcomeUnknownError("an earlier copy is still running")
        await task.deferLater(
            run.runtime.reactor, next(delays, MAX_POLL_DELAY_S)
        )
        entry = await run.read()
        if entry is None:
            raise OutcomeUnknownError("the earlier copy cannot be read")


def is_holder_live(runtime, record):
    """Return whether the request is held by another daemon that is live."""
    if record.instance == runtime.settings.instance:
        return False
    live = runtime.members.list_live(now=time.monotonic(), leaving=True)
    return any(
        member.instance == record.instance
        and member.incarnation == record.incarnation
        for member in live
    )


async def resume_earlier_copy(run, record, entry):
    """Take over a record and resume the stream that it names."""
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
