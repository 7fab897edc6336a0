"""Tests of the resolver of IP addresses."""

import types

import pytest
from twisted.internet import address
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet.testing import MemoryReactorClock

from hollyspan_entry.addresses import open_address_resolver


class Names:
    """Resolver that records what it is asked for."""

    def __init__(self):
        self.asked = []

    def resolveHostName(self, resolutionReceiver, hostName, *_, **__):
        self.asked.append(hostName)


@pytest.fixture
def names():
    return Names()


@pytest.fixture
def reactor(names):
    reactor = MemoryReactorClock()
    reactor.installNameResolver(names)
    with open_address_resolver(reactor):
        yield reactor
    assert reactor.nameResolver is names


def resolve(reactor, host, **options):
    """Return the addresses of a host, None without an answer at once."""
    found = []
    done = []
    receiver = types.SimpleNamespace(
        resolutionBegan=lambda resolution: None,
        addressResolved=found.append,
        resolutionComplete=lambda: done.append(True),
    )
    reactor.nameResolver.resolveHostName(receiver, host, 80, **options)
    return found if done else None


# Failure: each connection to an upstream took a thread, and the loop stood
# still for half a second while a new thread had no processor.
@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_connections_to_ip_addresses_take_no_thread(reactor, names, host):
    endpoint = endpoints.HostnameEndpoint(reactor, host, 80, timeout=1.0)
    work = endpoint.connect(protocol.Factory.forProtocol(protocol.Protocol))
    assert isinstance(work, defer.Deferred)
    reactor.advance(0)
    ((connected, port, *_),) = reactor.tcpClients
    assert (connected, port) == (host, 80)
    assert names.asked == []


def test_other_hosts_are_left_to_the_resolver_of_names(reactor, names):
    assert resolve(reactor, "engine.example") is None
    assert names.asked[0] == "engine.example"
    kinds = (address.IPv6Address,)
    assert resolve(reactor, "127.0.0.1", addressTypes=kinds) is None
    assert names.asked[1] == "127.0.0.1"
    (found,) = resolve(reactor, "127.0.0.1")
    assert (found.type, found.host, found.port) == ("TCP", "127.0.0.1", 80)
