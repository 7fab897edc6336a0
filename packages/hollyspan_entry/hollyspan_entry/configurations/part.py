"""Setup of the configuration updates in the daemon."""

import contextlib

import eliot
from twisted.internet import defer

from ..runtime import open_periodic
from .disk import open_disk_copy
from .puller import ConfigurationPuller
from .start import load_initial_configuration
from .watcher import CHECK_INTERVAL_S
from .watcher import ConfigurationWatcher

__all__ = ["open_configurations"]


@contextlib.contextmanager
def open_configurations(runtime):
    """Load the initial configuration, then apply updates of store and peers.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    ConfigurationPuller
    """
    holder = runtime.configurations
    puller = ConfigurationPuller(runtime=runtime)
    watcher = ConfigurationWatcher(runtime=runtime)
    holder.subscribe(log_generation)
    runtime.members.listeners.append(puller.handle_member_update)

    async def start():
        await load_initial_configuration(runtime)
        puller.started = True

    async def check():
        if puller.started:
            await watcher.check()

    with contextlib.ExitStack() as stack:
        stack.enter_context(
            open_disk_copy(holder, folder=runtime.settings.data_folder)
        )
        stack.enter_context(open_task(start()))
        stack.callback(watcher.stop)
        stack.enter_context(
            open_periodic(
                check, seconds=CHECK_INTERVAL_S, reactor=runtime.reactor
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
