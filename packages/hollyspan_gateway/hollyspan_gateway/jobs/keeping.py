"""Storing of results."""

import eliot

from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError

from ..clock import wait
from .records import build_result_key
from .records import encode_result

__all__ = ["keep_result"]

# Pause before a result is offered to the store again, seconds.
STORE_RETRY_S = 0.3


async def keep_result(gateway, work):
    """Store a result until it is certain that one stands.

    Parameters
    ----------
    gateway : Gateway
    work : ItemWork
        With its result.
    """
    job = work.job.job
    key = build_result_key(job.identifier, work.item.identifier)
    content = encode_result(work.result)
    while True:
        try:
            await gateway.store.create({key: content})
            break
        except StoreKeyExistsError:
            eliot.log_message(
                "item:stored_before",
                job=job.identifier,
                item=work.item.identifier,
            )
            break
        except StoreUnavailableError as failure:
            eliot.log_message(
                "item:result_waits",
                job=job.identifier,
                item=work.item.identifier,
                reason=failure.message,
            )
            await wait(gateway.reactor, STORE_RETRY_S)
    work.is_listed = True
    is_done = work.result.is_done
    work.forget_output()
    slack = job.due - gateway.wall_clock()
    eliot.log_message(
        "item:stored",
        job=job.identifier,
        item=work.item.identifier,
        is_done=is_done,
        slack=slack,
    )
    gateway.metrics.record("lateness", max(0.0, -slack))
    gateway.metrics.count_item("done" if is_done else "given_up")
