"""Destinations of log lines."""

import contextlib
import sys

import eliot

from .bounded import BoundedLog

__all__ = ["open_bounded_log", "open_log"]


@contextlib.contextmanager
def open_log(*, path=None, instance=None):
    """Write eliot's messages to a file or to standard output.

    Parameters
    ----------
    path : str, optional
        File to append to; standard output by default.
    instance : str, optional
        Name of the instance, added to each line.

    Yields
    ------
    None
    """
    if instance is not None:
        eliot.add_global_fields(instance=instance)
    with contextlib.ExitStack() as stack:
        stream = sys.stdout
        if path is not None:
            stream = stack.enter_context(open(path, "ab", buffering=0))
        destination = eliot.FileDestination(file=stream)
        eliot.add_destinations(destination)
        stack.callback(eliot.remove_destination, destination)
        yield


@contextlib.contextmanager
def open_bounded_log(*, reactor, instance):
    """Write eliot's messages to standard output without blocking.

    Parameters
    ----------
    reactor : twisted reactor
    instance : str
        Name of the instance, added to each line.

    Yields
    ------
    BoundedLog
    """
    eliot.add_global_fields(instance=instance)
    log = BoundedLog(descriptor=sys.stdout.fileno(), reactor=reactor)
    eliot.add_destinations(log)
    try:
        yield log
    finally:
        eliot.remove_destination(log)
        log.flush()
