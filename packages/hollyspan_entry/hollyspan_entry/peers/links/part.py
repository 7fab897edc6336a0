"""Links between daemons, both sides."""

import contextlib

from twisted.internet import protocol

from .answers import Answers
from .forward import build_forward
from .link import Link
from .pool import Links

__all__ = ["open_links"]


@contextlib.contextmanager
def open_links(runtime):
    """Take links of other daemons, and open links to them.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    Links
    """
    settings = runtime.settings
    answers = Answers(runtime=runtime)
    links = Links(runtime=runtime)
    runtime.links = links
    runtime.forward = build_forward(runtime)
    runtime.drain_hooks.append(answers.finish)
    port = runtime.reactor.listenTCP(
        settings.peer_port,
        build_factory(runtime, answers),
        interface=settings.peer_address,
    )
    try:
        yield links
    finally:
        port.stopListening()
        links.close()
        answers.close()


def build_factory(runtime, answers):
    def build_link():
        link = Link(
            runtime=runtime,
            is_server=True,
            receive=answers.receive,
            on_end=answers.end_link,
        )
        answers.links.add(link)
        return link

    factory = protocol.Factory.forProtocol(build_link)
    factory.noisy = False
    return factory
