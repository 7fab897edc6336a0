"""Time on the reactor and on the wall."""

import time

from twisted.internet import defer

__all__ = ["read_boot_clock", "wait"]


def wait(reactor, seconds):
    """Return a Deferred that fires after some seconds."""
    deferred = defer.Deferred(lambda _: call.cancel())
    call = reactor.callLater(seconds, deferred.callback, None)
    return deferred


def read_boot_clock():
    """Return seconds since the machine's start, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
