"""Running of one item."""

import time

import eliot
from twisted.internet import defer

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import ItemAttemptsError
from hollyspan_core.errors import ItemTimeoutError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OutcomeUnknownError
from hollyspan_core.errors import StreamCancelledError
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamUnavailableError

from ...streams import run_stream
from ..results import build_failure
from ..results import build_success
from .begin import begin_stream
from .run import StopReason

__all__ = ["execute"]

IDLE_TIMEOUT_SECONDS = 10.0
# Answers that say nothing of the request itself.
PASSING_STATUSES = frozenset({408, 409, 425, 429})


async def execute(runner, run):
    """Run an item at its upstream and decide what comes next.

    Parameters
    ----------
    runner : JobRunner
    run : Run
    """
    runtime = runner.runtime
    item = run.item
    resume = item.stream_id is not None
    begin_stream(runtime, run)
    try:
        await run_stream(
            runtime=runtime,
            upstream=run.upstream,
            path=item.url,
            body=item.body,
            stream_id=item.stream_id,
            key=f"{run.chunk.record.job}/{item.number}",
            request_class="batch",
            on_event=item.take_event,
            offset=len(item.events),
            idle_timeout=IDLE_TIMEOUT_SECONDS,
            resume=resume,
            cancel_on_break=True,
        )
        runner.finish(run, build_success(run.chunk.record.job, item))
        runner.note_success(run)
    except defer.CancelledError:
        take_stop(runner, run)
    except StreamCancelledError as error:
        take_cancel(runner, run, error)
    except HollyspanError as error:
        if resume and isinstance(error, StreamLostError):
            take_lost_resume(runner, run, error)
        else:
            take_failure(runner, run, error)
    except Exception:
        # The item must not be lost to a fault of the daemon.
        eliot.write_traceback()
        take_failure(runner, run, HollyspanError("internal error"))


def take_stop(runner, run):
    """Decide about an item whose stream was cancelled here."""
    if run.reason is StopReason.PREEMPTED:
        runner.pause(run)
    elif run.reason is StopReason.TIMEOUT:
        fail(runner, run, ItemTimeoutError("the item ran for too long"))
    elif not run.chunk.record.idempotent:
        fail(runner, run, OutcomeUnknownError("the item was cut off"))


def take_cancel(runner, run, error):
    """Decide about an item whose stream broke and holds no slot any more."""
    if error.is_cancelled_elsewhere:
        hold(runner, run.upstream)
    if run.reason in (None, StopReason.PREEMPTED):
        runner.pause(run)
    else:
        take_stop(runner, run)


def hold(runner, upstream):
    slots = runner.slots.get(upstream.name)
    if slots is not None:
        slots.hold(now=time.monotonic())


def take_lost_resume(runner, run, error):
    """Decide about a preempted item that the engine has forgotten."""
    if not run.chunk.record.idempotent:
        fail(runner, run, OutcomeUnknownError(error.message))
        return
    runner.counters.redone_tokens += run.item.reset()
    runner.put_back(run)


def take_failure(runner, run, error):
    """Decide about an item whose attempt failed."""
    if is_not_run(error):
        run.item.reset()
        runner.put_back(run)
        return
    if is_terminal(error):
        runner.note_success(run)
        fail(runner, run, error)
        return
    runner.note_failure(run)
    if not run.chunk.record.idempotent:
        fail(runner, run, OutcomeUnknownError(error.message))
    else:
        retry(runner, run, error)


def is_not_run(error):
    unavailable = isinstance(error, UpstreamUnavailableError)
    return unavailable and error.outcome is Outcome.NOT_RUN


def is_terminal(error):
    if not isinstance(error, UpstreamAnswerError):
        return False
    status = error.upstream_status or 0
    return 400 <= status < 500 and status not in PASSING_STATUSES


def retry(runner, run, error):
    """Try an item again unless it has failed too often."""
    item = run.item
    item.attempts += 1
    if item.attempts < runner.read_limit("batch.item_attempts", run.chunk):
        runner.counters.redone_tokens += item.reset()
        # A request that ends its engine must not take others with it again.
        alone = not isinstance(error, UpstreamAnswerError)
        runner.put_back_failed(run, alone=alone)
        return
    fail(
        runner,
        run,
        ItemAttemptsError(
            f"{item.attempts} attempts failed, the last one with {error.code}"
        ),
    )


def fail(runner, run, error):
    runner.finish(run, build_failure(run.chunk.record.job, run.item, error))
