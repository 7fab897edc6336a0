"""In-memory connections to upstreams, for tests that provide the answers."""

from hollyspan_core.errors import UpstreamConnectionRefusedError

__all__ = ["MemoryConnection", "MemoryPool"]


class MemoryPool:
    """Connection pool that records requests for the test to answer.

    Attributes
    ----------
    sent : list
        Connections with a request, in order of sending; their `address` and
        `exchange` can be inspected.
    unreachable : set of (str, int)
        Addresses that refuse connections.
    on_send : callable
        Called with each connection that carries a request.
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.sent = []
        self.unreachable = set()
        self.opened = 0
        self.on_send = lambda connection: None

    async def acquire(self, address, *, timeout=1.0):
        if address in self.unreachable:
            raise UpstreamConnectionRefusedError("connection refused")
        return MemoryConnection(pool=self, address=address)

    async def open_idle(self, address):
        await self.acquire(address)

    def drop_address(self, address):
        pass

    def close(self):
        pass

    @property
    def last(self):
        return self.sent[-1]


class MemoryConnection:
    """A connection for which the test provides the answer."""

    def __init__(self, *, pool, address):
        self.pool = pool
        self.address = address
        self.exchange = None
        self.is_cancelled = False

    def send(self, exchange):
        self.exchange = exchange
        self.pool.sent.append(self)
        self.pool.on_send(self)

    def cancel(self):
        self.is_cancelled = True

    @property
    def headers(self):
        return dict(self.exchange.headers)

    def answer(self, status, *, body=b"", headers=(), is_complete=True):
        """Answer with a head and a body, and end the body if `is_complete`."""
        self.exchange.on_head(status, list(headers))
        if body and not self.is_cancelled:
            self.exchange.on_data(body)
        if is_complete and not self.is_cancelled:
            self.exchange.on_end()
