"""Listening ports of links."""

from twisted.internet.error import CannotListenError

from ..common import StandinError
from .tcp import TcpFactory
from .udp import UdpRelay

__all__ = ["listen_link", "NoPortError"]

ADDRESS = "127.0.0.1"
MAX_BIND_ATTEMPTS = 50


class NoPortError(StandinError):
    """No port was found that is free for both TCP and UDP."""


def listen_link(reactor, link, kind):
    """Listen on a free port for a link and return the port.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorUDP
    link : Link
    kind : str
        ``"tcp"``, ``"udp"`` or ``"both"``, which uses the same port number
        for TCP and UDP.
    """
    if kind == "tcp":
        return listen_tcp(reactor, link).getHost().port
    if kind == "udp":
        return listen_udp(reactor, link, 0).getHost().port
    return listen_both(reactor, link)


def listen_tcp(reactor, link):
    """Listen for TCP connections on a free port."""
    factory = TcpFactory(link=link)
    return reactor.listenTCP(0, factory, interface=ADDRESS)


def listen_udp(reactor, link, port):
    """Listen for UDP datagrams on a port."""
    relay = UdpRelay(link=link)
    return reactor.listenUDP(port, relay, interface=ADDRESS)


def listen_both(reactor, link):
    """Listen for TCP and UDP on the same port number."""
    for _ in range(MAX_BIND_ATTEMPTS):
        listener = listen_tcp(reactor, link)
        port = listener.getHost().port
        try:
            listen_udp(reactor, link, port)
        except CannotListenError:
            listener.stopListening()
            continue
        return port
    raise NoPortError(
        f"no port for {link.name} in {MAX_BIND_ATTEMPTS} attempts"
    )
