"""Connections to upstreams that a test answers by hand."""

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import UpstreamUnavailableError

__all__ = ["MemoryConnection", "MemoryPool"]


class MemoryPool:
    """Connections to upstreams that a test answers by hand.

    Attributes
    ----------
    sent : list
        Connection with its `address` and `exchange`, by time of the send.
    unreachable : set of (str, int)
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.sent = []
        self.unreachable = set()
        self.opened = 0

    async def acquire(self, address, *, timeout=1.0):
        if address in self.unreachable:
            raise UpstreamUnavailableError("refused", outcome=Outcome.NOT_RUN)
        return MemoryConnection(pool=self, address=address)

    def drop_address(self, address):
        pass

    def close(self):
        pass

    @property
    def last(self):
        return self.sent[-1]


class MemoryConnection:
    """A connection whose answers the test gives."""

    def __init__(self, *, pool, address):
        self.pool = pool
        self.address = address
        self.exchange = None
        self.is_cancelled = False

    def send(self, exchange):
        self.exchange = exchange
        self.pool.sent.append(self)

    def cancel(self):
        self.is_cancelled = True

    @property
    def headers(self):
        return dict(self.exchange.headers)

    def answer(self, status, *, body=b"", headers=(), is_whole=True):
        """Answer with a head, a body and perhaps its end."""
        self.exchange.on_head(status, list(headers))
        if body and not self.is_cancelled:
            self.exchange.on_data(body)
        if is_whole and not self.is_cancelled:
            self.exchange.on_end()
