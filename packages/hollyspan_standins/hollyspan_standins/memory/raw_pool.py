"""In-memory connections on which tests send an upstream's bytes."""

import types

from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure

from hollyspan_gateway.http1.connection import ClientConnection

from .pool import MemoryPool

__all__ = ["RawConnection", "RawPool"]


class RawPool(MemoryPool):
    """Connection pool whose answers are read from the bytes of a test."""

    async def acquire(self, address, *, timeout=0.3, identifier=None):
        await self.open(address, timeout=timeout)
        return RawConnection(pool=self, address=address)


class RawConnection(ClientConnection):
    """A connection on which the test sends the bytes of the answer.

    Attributes
    ----------
    address : (str, int)
    is_aborted : bool
        True once this end has closed it.
    """

    def __init__(self, *, pool, address):
        super().__init__(reactor=pool.reactor, opened=defer.Deferred())
        self.pool = pool
        self.address = address
        self.is_aborted = False
        self.sent_headers = None
        self.makeConnection(
            types.SimpleNamespace(
                write=lambda data: None,
                abortConnection=self.note_abort,
                pauseProducing=lambda: None,
                resumeProducing=lambda: None,
                setTcpNoDelay=lambda enabled: None,
                getHandle=lambda: types.SimpleNamespace(
                    setsockopt=lambda level, option, value: None
                ),
            )
        )

    def note_abort(self):
        self.is_aborted = True

    def send(self, exchange):
        self.sent_headers = dict(exchange.headers)
        # The plain dialect names no host, which the protocol requires.
        exchange.headers = [*exchange.headers, (b"Host", b"h")]
        self.pool.sent.append(self)
        super().send(exchange)

    @property
    def headers(self):
        return self.sent_headers

    def receive(self, content, *, end=None):
        """Receive bytes, and then the end of the connection.

        Parameters
        ----------
        content : bytes
        end : str, optional
            ``closed`` or ``reset``; the connection stays open without.
        """
        if content and not self.is_aborted:
            self.dataReceived(content)
        if end is not None and not self.is_aborted:
            self.connectionLost(
                failure.Failure(
                    error.ConnectionDone()
                    if end == "closed"
                    else error.ConnectionLost()
                )
            )
