"""In-memory connections to upstreams, for tests that provide the answers."""

import collections

from hollyspan_core.errors import UpstreamConnectionRefusedError
from hollyspan_core.errors import UpstreamUnreachableError
from hollyspan_gateway.clock import wait

__all__ = ["MemoryConnection", "MemoryPool"]

CONNECT_TIMEOUT_S = 0.3
HOLD_S = 0.1
# Time from the acceptance of a connection to its reset.
RESET_DELAY_S = 0.01


class MemoryPool:
    """Connection pool that records requests for the test to answer.

    Attributes
    ----------
    sent : list
        Connections with a request, in order of sending; their `address` and
        `exchange` can be inspected.
    unreachable : set of (str, int)
        Addresses that refuse connections.
    idle : dict
        Times at which the idle connections were opened, by address.
    drops_new, refuses_new, resets_new : callable
        Called with an address; return whether new connections time out, are
        refused, or are accepted and reset at once.
    must_hold : callable
        Called with an address; returns whether a new connection has to stay
        open for a moment before it is used.
    on_send : callable
        Called with each connection that carries a request.
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.sent = []
        self.unreachable = set()
        self.opened = 0
        self.idle = collections.defaultdict(list)
        self.drops_new = lambda address: False
        self.refuses_new = lambda address: False
        self.resets_new = lambda address: False
        self.must_hold = lambda address: False
        self.on_send = lambda connection: None
        self.on_open = lambda address: None
        self.on_refused = lambda address: None
        self.on_closed_early = lambda address: None

    async def acquire(
        self, address, *, timeout=CONNECT_TIMEOUT_S, identifier=None
    ):
        is_new = not self.has_idle(address) or address in self.unreachable
        if is_new:
            await self.open(address, timeout=timeout)
            opened_at = self.reactor.seconds()
        else:
            opened_at = self.idle[address].pop()
        connection = MemoryConnection(
            pool=self, address=address, opened_at=opened_at
        )
        connection.is_reset = is_new and self.resets_new(address)
        return connection

    async def open(
        self, address, *, timeout=CONNECT_TIMEOUT_S, hold_seconds=0.0
    ):
        if address in self.unreachable or self.refuses_new(address):
            self.on_refused(address)
            raise UpstreamConnectionRefusedError("connection refused")
        if self.drops_new(address):
            await wait(self.reactor, timeout)
            raise UpstreamUnreachableError("connection timed out")
        self.opened += 1
        if self.must_hold(address):
            hold_seconds = HOLD_S
        if hold_seconds and self.resets_new(address):
            await wait(self.reactor, RESET_DELAY_S)
            raise UpstreamUnreachableError("connection closed at once")
        if hold_seconds:
            await wait(self.reactor, hold_seconds)
            if address in self.unreachable or self.accepts_none(address):
                raise UpstreamUnreachableError("connection closed")
        self.on_open(address)

    def accepts_none(self, address):
        """Return whether no new connection stays open."""
        return (
            self.drops_new(address)
            or self.refuses_new(address)
            or self.resets_new(address)
        )

    async def open_idle(self, address, *, hold_seconds=HOLD_S):
        await self.open(address, hold_seconds=hold_seconds)
        # One that is reset at once is gone before it is used.
        if not self.resets_new(address):
            self.idle[address].append(self.reactor.seconds())

    def has_idle(self, address):
        return bool(self.idle.get(address))

    def list_idle(self, address):
        return list(self.idle.get(address, ()))

    def drop_address(self, address):
        self.idle.pop(address, None)

    def close(self):
        pass

    @property
    def last(self):
        return self.sent[-1]


class MemoryConnection:
    """A connection for which the test provides the answer."""

    def __init__(self, *, pool, address, opened_at):
        self.pool = pool
        self.address = address
        self.opened_at = opened_at
        self.exchange = None
        self.is_cancelled = False
        self.is_reset = False
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
        self.pool.idle[self.address].append(self.opened_at)
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
