"""Addresses that are used as they are, without a thread."""

import contextlib

from twisted.internet import abstract
from twisted.internet import address
from twisted.internet import interfaces
from zope.interface import implementer

__all__ = ["open_address_resolver"]


@contextlib.contextmanager
def open_address_resolver(reactor):
    """Let connections to IP addresses open without a thread.

    Parameters
    ----------
    reactor : twisted reactor

    Yields
    ------
    None

    Notes
    -----
    Twisted looks up each host in a thread, IP addresses too. The loop waits
    until a new thread has run, and for the interpreter lock while a thread
    that holds it has no processor.
    """
    names = reactor.nameResolver
    reactor.installNameResolver(AddressResolver(names=names))
    try:
        yield
    finally:
        reactor.installNameResolver(names)


@implementer(interfaces.IHostnameResolver)
class AddressResolver:
    """Resolver that returns IP addresses at once.

    Parameters
    ----------
    names : IHostnameResolver
        Resolver of all other hosts.
    """

    __slots__ = ("names",)

    def __init__(self, *, names):
        self.names = names

    def resolveHostName(
        self,
        resolutionReceiver,
        hostName,
        portNumber=0,
        addressTypes=None,
        transportSemantics="TCP",
    ):
        """Resolve a host; see IHostnameResolver."""
        kind = find_address_type(hostName)
        if kind is None or (
            addressTypes is not None and kind not in addressTypes
        ):
            return self.names.resolveHostName(
                resolutionReceiver,
                hostName,
                portNumber,
                addressTypes,
                transportSemantics,
            )
        resolution = Resolution(name=hostName)
        resolutionReceiver.resolutionBegan(resolution)
        resolutionReceiver.addressResolved(
            kind(transportSemantics, hostName, portNumber)
        )
        resolutionReceiver.resolutionComplete()
        return resolution


@implementer(interfaces.IHostResolution)
class Resolution:
    """Resolution that is complete from the start."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name

    def cancel(self):
        """Do nothing; see IHostResolution."""


def find_address_type(host):
    """Return the Twisted type of an IP address, or None for a name."""
    if abstract.isIPAddress(host):
        return address.IPv4Address
    if abstract.isIPv6Address(host):
        return address.IPv6Address
    return None
