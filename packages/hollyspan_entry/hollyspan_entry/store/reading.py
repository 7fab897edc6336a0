"""Reads that are repeated when their connection fails."""

from twisted.internet import task

from hollyspan_core.errors import StoreAnswerTooLargeError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnreachableError

__all__ = ["send_read"]

MAX_READ_ATTEMPTS = 3
RETRY_DELAY_S = 0.05


async def send_read(transport, path, body):
    """Send a read, and again while the store has just answered others.

    Parameters
    ----------
    transport : Transport
    path : str
    body : dict

    Returns
    -------
    dict

    Raises
    ------
    StoreUnavailableError

    Notes
    -----
    A connection that was kept from an earlier call may be gone when the next
    one is sent over it. While the store is away, each read is sent once.
    """
    for _ in range(MAX_READ_ATTEMPTS - 1):
        try:
            return await transport.call(path, body)
        except StoreAnswerTooLargeError:
            raise
        except (StoreReplyLostError, StoreUnreachableError):
            if not transport.has_answered_lately():
                raise
        await task.deferLater(transport.reactor, RETRY_DELAY_S)
    return await transport.call(path, body)
