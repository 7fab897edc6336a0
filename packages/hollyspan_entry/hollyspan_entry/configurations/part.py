"""Keeping the highest generation in force on this daemon."""

import contextlib

import eliot
from twisted.internet import defer

from ..runtime import open_periodic
from .disk import open_disk
from .puller import Puller
from .start import find_configuration
from .watcher import CHECK_SECONDS
from .watcher import Watcher

__all__ = ["open_configurations"]


@contextlib.contextmanager
def open_configurations(runtime):
    """Find the first configuration, then follow the store and the peers.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    Puller
    """
    holder = runtime.configurations
    puller = Puller(runtime=runtime)
    watcher = Watcher(runtime=runtime)
    holder.subscribe(log_generation)
    runtime.members.listeners.append(puller.hear)

    async def start():
        await find_configuration(runtime)
        puller.started = True

    async def check():
        if puller.started:
            await watcher.check()

    with contextlib.ExitStack() as stack:
        stack.enter_context(
            open_disk(holder, folder=runtime.settings.data_folder)
        )
        stack.enter_context(open_task(start()))
        stack.callback(watcher.stop)
        stack.enter_context(
            open_periodic(
                check, seconds=CHECK_SECONDS, reactor=runtime.reactor
            )
        )
        yield puller


@contextlib.contextmanager
def open_task(coroutine):
    running = defer.ensureDeferred(coroutine)
    running.addErrback(log_failure)
    try:
        yield
    finally:
        running.cancel()


def log_failure(failure):
    if not failure.check(defer.CancelledError):
        eliot.log_message(
            message_type="configuration:start", reason=failure.getTraceback()
        )


def log_generation(configuration):
    eliot.log_message(
        message_type="configuration:applied",
        generation=configuration.generation,
    )
