"""Periodic execution of coroutines."""

import contextlib

import eliot
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import HollyspanError

__all__ = ["open_periodic"]


@contextlib.contextmanager
def open_periodic(function, *, seconds, reactor):
    """Call a coroutine function immediately and then at an interval.

    Parameters
    ----------
    function : callable
        Coroutine function without arguments. If it returns a number, that
        becomes the new interval. A failure is logged and does not stop the
        repetition; a long call delays the next one.
    seconds : float
        Initial interval.
    reactor : twisted reactor

    Yields
    ------
    None
    """
    running = []

    def change_interval(result):
        if result is not None:
            loop.interval = result

    def call():
        running[:] = [defer.ensureDeferred(guard(function))]
        return running[0].addCallback(change_interval)

    loop = task.LoopingCall(call)
    loop.clock = reactor
    loop.start(seconds)
    try:
        yield
    finally:
        loop.stop()
        running[0].cancel()


async def guard(function):
    try:
        return await function()
    except defer.CancelledError:
        return None
    except HollyspanError as error:
        eliot.log_message(
            message_type="periodic:failed", code=error.code, reason=str(error)
        )
        return None
    except Exception:
        eliot.write_traceback()
        return None
