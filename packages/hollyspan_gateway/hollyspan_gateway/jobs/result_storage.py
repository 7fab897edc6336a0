"""Storage of results."""

import eliot

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError

from ..clock import wait
from .item import ItemResult
from .records import build_result_key
from .records import encode_result

__all__ = ["persist_result"]

STORE_RETRY_DELAY_S = 0.3


async def persist_result(gateway, state):
    """Store a result, retrying until the store is known to have one.

    Parameters
    ----------
    gateway : Gateway
    state : ItemState
        Its `result` is set; the output goes when it is stored.
    """
    job = state.job_state.job
    key = build_result_key(job.identifier, state.item.identifier)
    content = encode_result(state.result)
    while True:
        try:
            if job.reservation is None or state.job_state.is_ended:
                await gateway.store.create({key: content})
            elif not await gateway.worker.releases.store_result(state):
                log_stored_before(state)
            break
        except StoreKeyExistsError:
            log_stored_before(state)
            break
        except StoreUnavailableError as error:
            eliot.log_message(
                "item:result_waits",
                job=job.identifier,
                item=state.item.identifier,
                reason=error.message,
            )
            await wait(gateway.reactor, STORE_RETRY_DELAY_S)
    state.has_result = True
    gateway.worker.catalogue.room.note_progress()
    is_done = state.result.is_done
    state.discard_output()
    state.result = ItemResult(
        identifier=state.item.identifier, is_done=is_done, output=b""
    )
    gateway.bodies.discard(job.identifier, [state.item.identifier])
    slack = job.due - gateway.wall_clock()
    eliot.log_message(
        "item:stored",
        job=job.identifier,
        item=state.item.identifier,
        is_done=is_done,
        slack=slack,
    )
    gateway.metrics.record("lateness", max(0.0, -slack))
    gateway.metrics.count_item("done" if is_done else "given_up")


def log_stored_before(state):
    eliot.log_message(
        "item:stored_before",
        job=state.job_state.job.identifier,
        item=state.item.identifier,
    )
