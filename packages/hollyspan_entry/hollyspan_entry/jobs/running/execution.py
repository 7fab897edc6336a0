"""Execution of one item and handling of its outcome."""

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
from .run import StopReason
from .stream_ids import assign_stream

__all__ = ["execute"]

STREAM_IDLE_TIMEOUT_S = 10.0
# Statuses that do not mean that the request itself is at fault.
TRANSIENT_STATUSES = frozenset({408, 409, 425, 429})


async def execute(runner, run):
    """Run an item at its upstream and handle the outcome.

    Parameters
    ----------
    runner : JobRunner
    run : Run
    """
    runtime = runner.runtime
    item = run.item
    resume = item.stream_id is not None
    assign_stream(runtime, run)
    try:
        await run_stream(
            runtime=runtime,
            upstream=run.upstream,
            path=item.url,
            body=item.body,
            stream_id=item.stream_id,
            key=f"{run.chunk.record.job}/{item.number}",
            request_class="batch",
            on_event=item.append_event,
            offset=len(item.events),
            idle_timeout=STREAM_IDLE_TIMEOUT_S,
            resume=resume,
            cancel_on_break=True,
        )
        runner.record_result(run, build_success(run.chunk.record.job, item))
        runner.record_success(run)
    except defer.CancelledError:
        handle_local_cancel(runner, run)
    except StreamCancelledError as error:
        handle_stream_cancelled(runner, run, error)
    except HollyspanError as error:
        if resume and isinstance(error, StreamLostError):
            handle_lost_stream(runner, run, error)
        else:
            handle_failure(runner, run, error)
    except Exception:
        # A programming error in the daemon must not lose the item.
        eliot.write_traceback()
        handle_failure(runner, run, HollyspanError("internal error"))


def handle_local_cancel(runner, run):
    """Handle an item whose stream was cancelled by this daemon."""
    if run.reason is StopReason.PREEMPTED:
        runner.pause(run)
    elif run.reason is StopReason.TIMEOUT:
        fail_item(runner, run, ItemTimeoutError("the item ran for too long"))
    elif not run.chunk.record.idempotent:
        fail_item(runner, run, OutcomeUnknownError("the item was cut off"))


def handle_stream_cancelled(runner, run, error):
    """Handle an item whose stream was cancelled and has released its slot."""
    if error.is_cancelled_elsewhere:
        block_batch(runner, run.upstream)
    if run.reason in (None, StopReason.PREEMPTED):
        runner.pause(run)
    else:
        handle_local_cancel(runner, run)


def block_batch(runner, upstream):
    slots = runner.slots.get(upstream.name)
    if slots is not None:
        slots.block_batch(now=time.monotonic())


def handle_lost_stream(runner, run, error):
    """Handle a preempted item whose stream the engine no longer retains."""
    if not run.chunk.record.idempotent:
        fail_item(runner, run, OutcomeUnknownError(error.message))
        return
    runner.counters.redone_tokens += run.item.discard_attempt()
    runner.requeue(run)


def handle_failure(runner, run, error):
    """Handle an item whose attempt failed."""
    if is_not_run(error):
        run.item.discard_attempt()
        runner.requeue(run)
        return
    if is_permanent(error):
        runner.record_success(run)
        fail_item(runner, run, error)
        return
    runner.record_failure(run)
    if not run.chunk.record.idempotent:
        fail_item(runner, run, OutcomeUnknownError(error.message))
    else:
        retry_item(runner, run, error)


def is_not_run(error):
    unavailable = isinstance(error, UpstreamUnavailableError)
    return unavailable and error.outcome is Outcome.NOT_RUN


def is_permanent(error):
    if not isinstance(error, UpstreamAnswerError):
        return False
    status = error.upstream_status or 0
    return 400 <= status < 500 and status not in TRANSIENT_STATUSES


def retry_item(runner, run, error):
    """Retry an item unless it has reached the limit of attempts."""
    item = run.item
    item.attempts += 1
    if item.attempts < runner.read_limit("batch.item_attempts", run.chunk):
        runner.counters.redone_tokens += item.discard_attempt()
        # A request that crashes its engine must not make other items fail
        # again, so it is retried alone.
        alone = not isinstance(error, UpstreamAnswerError)
        runner.requeue_failed(run, alone=alone)
        return
    fail_item(
        runner,
        run,
        ItemAttemptsError(
            f"{item.attempts} attempts failed, the last one with {error.code}"
        ),
    )


def fail_item(runner, run, error):
    runner.record_result(
        run, build_failure(run.chunk.record.job, run.item, error)
    )
