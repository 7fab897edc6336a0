"""In-memory connections to upstreams, for tests that provide the answers."""

import collections

from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_gateway.clock import wait

__all__ = ["MemoryConnection", "MemoryPool"]

CONNECT_TIMEOUT_S = 0.3


class MemoryPool:
    """Connection pool that records requests for the test to answer.

    Attributes
    ----------
    sent : list
        Connections with a request, in order of sending; their `address` and
        `exchange` can be inspected.
    unreachable : set of (str, int)
        Addresses that refuse connections.
    idle : collections.Counter
        Number of idle connections by address.
    drops_new, refuses_new : callable
        Called with an address; return whether new connections time out or
        are refused.
    on_send : callable
        Called with each connection that carries a request.
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.sent = []
        self.unreachable = set()
        self.opened = 0
        self.idle = collections.Counter()
        self.drops_new = lambda address: False
        self.refuses_new = lambda address: False
        self.on_send = lambda connection: None
        self.on_open = lambda address: None

    async def acquire(
        self, address, *, timeout=CONNECT_TIMEOUT_S, identifier=None
    ):
        if self.idle[address] and address not in self.unreachable:
            self.idle[address] -= 1
        else:
            await self.open(address, timeout=timeout)
        return MemoryConnection(pool=self, address=address)

    async def open(self, address, *, timeout=CONNECT_TIMEOUT_S):
        if address in self.unreachable or self.refuses_new(address):
            raise UpstreamConnectionRefusedError("connection refused")
        if self.drops_new(address):
            await wait(self.reactor, timeout)
            raise UpstreamUnreachableError("connection timed out")
        self.opened += 1
        self.on_open(address)

    async def open_idle(self, address):
        await self.open(address)
        self.idle[address] += 1

    def has_idle(self, address):
        return self.idle[address] > 0

    def drop_address(self, address):
        self.idle.pop(address, None)

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
        self.is_first_request = True
        self.on_cancel = lambda: None

    def send(self, exchange):
        self.exchange = exchange
        self.pool.sent.append(self)
        self.pool.on_send(self)

    def skip_answer(self):
        return False

    def cancel(self):
        self.is_cancelled = True
        self.on_cancel()

    def end(self):
        """Complete the answer; the connection can be used again."""
        self.pool.idle[self.address] += 1
        self.exchange.on_end()

    @property
    def headers(self):
        return dict(self.exchange.headers)

    def answer(self, status, *, body=b"", headers=(), is_complete=True):
        """Answer with a head and a body, and end the body if `is_complete`."""
        self.exchange.on_head(status, list(headers))
        if body and not self.is_cancelled:
            self.exchange.on_data(body)
        if is_complete and not self.is_cancelled:
            self.end()
