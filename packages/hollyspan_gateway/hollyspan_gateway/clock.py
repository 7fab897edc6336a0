"""Delays on the reactor and readings of the boot clock."""

import time

from twisted.internet import defer

__all__ = ["read_boot_clock", "wait"]


def wait(reactor, seconds):
    """Return a Deferred that fires after a delay in seconds."""
    deferred = defer.Deferred(lambda _: call.cancel())
    call = reactor.callLater(seconds, deferred.callback, None)
    return deferred


def read_boot_clock():
    """Return the seconds since the machine booted, time suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
