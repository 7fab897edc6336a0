"""Setup of both sides of the links between daemons."""

import contextlib

from twisted.internet import protocol

from .call_server import CallServer
from .forward import build_forward
from .link import Link
from .pool import LinkPool

__all__ = ["open_links"]


@contextlib.contextmanager
def open_links(runtime):
    """Accept links from other daemons, and provide links to them.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    LinkPool
    """
    settings = runtime.settings
    call_server = CallServer(runtime=runtime)
    links = LinkPool(runtime=runtime)
    runtime.links = links
    runtime.forward = build_forward(runtime)
    runtime.drain_hooks.append(call_server.drain)
    port = runtime.reactor.listenTCP(
        settings.peer_port,
        build_factory(runtime, call_server),
        interface=settings.peer_address,
    )
    try:
        yield links
    finally:
        port.stopListening()
        links.close()
        call_server.close()


def build_factory(runtime, call_server):
    def build_link():
        link = Link(
            runtime=runtime,
            is_server=True,
            receive=call_server.receive,
            on_end=call_server.end_link,
        )
        call_server.links.add(link)
        return link

    factory = protocol.Factory.forProtocol(build_link)
    factory.noisy = False
    return factory
