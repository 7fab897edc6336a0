"""Stand-ins for the systems around a gateway, all in memory."""

import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreHistoryLostError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_core.store import Entry
from hollyspan_core.store import Page
from hollyspan_gateway.gateway import Gateway
from hollyspan_gateway.metrics import Metrics
from hollyspan_gateway.online import RequestHead
from hollyspan_gateway.online import UpstreamReply
from hollyspan_gateway.routes import Limits
from hollyspan_gateway.routes import Route
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.routes import RouteTable
from hollyspan_gateway.settings import GatewaySettings
from hollyspan_gateway.store import Commit
from hollyspan_gateway.store import Store
from hollyspan_gateway.upstreams import UpstreamEntry

TOKEN = 16


class MemoryWire:
    """The platform's store in memory, with faults on demand.

    Attributes
    ----------
    is_down : bool
        Each call is refused.
    lose : int
        So many writes from now on take effect without an answer.
    drop : int
        So many writes from now on are lost on their way.
    kept_after : int
        Changes up to this revision are no longer known.
    page_size : int
        Entries in one page.
    calls : list of str
    """

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.entries = {}
        self.events = []
        self.revision = 1
        self.is_down = False
        self.lose = 0
        self.drop = 0
        self.kept_after = 0
        self.page_size = 500
        self.waiting = []
        self.calls = []

    def check(self, call):
        self.calls.append(call)
        if self.is_down:
            raise StoreUnavailableError("down", outcome=Outcome.NOT_RUN)

    async def read(self, key):
        self.check("read")
        return self.entries.get(key)

    async def read_page(self, prefix, *, after):
        self.check("read_page")
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and (after is None or key > after)
        )
        return Page(
            entries=[self.entries[key] for key in keys[: self.page_size]],
            more=len(keys) > self.page_size,
            revision=self.revision,
        )

    async def watch(self, prefix, *, after, seconds):
        self.check("watch")
        if after < self.kept_after:
            raise StoreHistoryLostError("compacted")
        if not self.find_events(prefix, after):
            changed = defer.Deferred()
            self.waiting.append(changed)
            call = self.reactor.callLater(seconds, self.wake, changed)
            await changed
            if call.active():
                call.cancel()
            self.check("watch_end")
            if after < self.kept_after:
                raise StoreHistoryLostError("compacted")
        return Page(
            entries=self.find_events(prefix, after),
            more=False,
            revision=self.revision,
        )

    def find_events(self, prefix, after):
        return [
            entry
            for revision, entry in self.events
            if revision > after and entry.key.startswith(prefix)
        ]

    def wake(self, changed):
        if changed in self.waiting:
            self.waiting.remove(changed)
            changed.callback(None)

    def wake_all(self):
        for changed in list(self.waiting):
            self.wake(changed)

    async def commit(self, *, expected, values, removed):
        self.check("commit")
        if self.drop:
            self.drop -= 1
            raise StoreReplyLostError("lost on its way")
        found = {
            key: self.entries[key] for key in expected if key in self.entries
        }
        for key, revision in expected.items():
            entry = found.get(key)
            if (entry.revision if entry else 0) != revision:
                return Commit(succeeded=False, found=found)
        self.change(values, removed)
        if self.lose:
            self.lose -= 1
            raise StoreReplyLostError("no answer")
        return Commit(succeeded=True, revision=self.revision)

    def change(self, values, removed=()):
        """Make a change as any writer."""
        self.revision += 1
        for key, value in values.items():
            known = self.entries.get(key)
            entry = Entry(
                key=key,
                content=value[TOKEN:],
                token=value[:TOKEN],
                revision=self.revision,
                lease=0,
                created=known.created if known else self.revision,
            )
            self.entries[key] = entry
            self.events.append((self.revision, entry))
        for key in removed:
            if self.entries.pop(key, None) is not None:
                gone = Entry(
                    key=key, content=b"", token=b"", revision=0, lease=0
                )
                self.events.append((self.revision, gone))
        self.wake_all()

    def describe_calls(self):
        return {}


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


class PlainDialect:
    """Wire format of the tests: names of headers say what they hold."""

    configuration_prefix = "configuration"
    upstreams_prefix = "upstreams/"

    @staticmethod
    def decode_configuration(entry):
        return None

    @staticmethod
    def decode_upstream(entry):
        return build_entry(entry.key.rpartition("/")[2])

    @staticmethod
    def decode_retirement(entry, instance):
        if entry.key != f"retire/{instance}":
            return None
        return float(entry.content)

    @staticmethod
    def encode_retirement(instance, *, is_done):
        return f"status/{instance}", b"done" if is_done else b"running"

    @staticmethod
    def encode_headers(head, *, upstream, deadline_seconds, resume_after):
        return [
            (b"id", head.identifier.encode()),
            (b"upstream", upstream.encode()),
            (b"deadline", str(deadline_seconds).encode()),
            (b"resume", str(resume_after).encode()),
        ]

    @staticmethod
    def encode_item_headers(item, host):
        return []

    @staticmethod
    def decode_reply(status, headers):
        values = dict(headers)
        identifier = values.get(b"id")
        load = values.get(b"load")
        return UpstreamReply(
            status=status,
            identifier=identifier and identifier.decode(),
            has_not_run=b"not-run" in values,
            is_ambiguous=status == 503 and b"not-run" not in values,
            load=load and tuple(int(part) for part in load.split(b",")),
            headers=list(headers),
        )

    @staticmethod
    def encode_failure(failure):
        return failure.status, [], failure.outcome.value.encode()

    @staticmethod
    def encode_accepted():
        return 202, [], b""

    @staticmethod
    def encode_results(*, total, position, results):
        names = ",".join(result.identifier for result in results)
        return 200, [], f"{total}:{position}:{names}".encode()

    @staticmethod
    def list_body_headers():
        return []


class MemoryRequest:
    """A client's request whose answer is kept."""

    def __init__(self, *, reactor, body=b"{}"):
        self.content = types.SimpleNamespace(getvalue=lambda: body)
        self.arrived = reactor.seconds()
        self.is_open = True
        self.is_too_large = False
        self.on_gone = None
        self.status = None
        self.written = b""
        self.is_ended = False
        self.is_aborted = False

    def begin(self, status, headers):
        assert self.status is None
        self.status = status

    def write(self, data):
        assert self.status is not None
        self.written += data

    def answer(self, status, headers, body):
        self.begin(status, headers)
        self.written += body
        self.end()

    def end(self):
        self.is_ended = True
        self.is_open = False

    def abort(self):
        self.is_aborted = True
        self.is_open = False


def build_route(**changes):
    values = {
        "name": "r",
        "host": "h",
        "prefix": "/s/",
        "kind": RouteKind.STREAM,
        "services": [("m", 1)],
        "timeout": 5.0,
        "aim": 0.3,
        "priority": 0,
        "max_attempts": 2,
        "is_resumable": True,
        "max_pause": 0.5,
    }
    values.update(changes)
    return Route(**values)


def build_table(routes, *, version=1, revision=1):
    return RouteTable(
        version=version,
        revision=revision,
        routes=routes,
        limits=Limits(
            header_bytes=1, body_bytes=1, header_seconds=1, idle_seconds=1
        ),
        services=frozenset(("m",)),
    )


def build_entry(name, *, data_centre="a", port=1, slots=8, **changes):
    values = {
        "name": name,
        "service": "m",
        "address": ("10.0.0.1", port),
        "data_centre": data_centre,
        "slots": slots,
        "is_ready": True,
    }
    values.update(changes)
    return UpstreamEntry(**values)


def build_head(identifier="q1", *, resume_after=None):
    return RequestHead(
        identifier=identifier,
        host="h",
        method=b"POST",
        target=b"/s/x",
        deadline_seconds=5.0,
        resume_after=resume_after,
        prompt_tokens=0,
        output_tokens=0,
        forwarded=[],
    )


def build_events(first, last):
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


@pytest.fixture
def reactor():
    clock = task.Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def wire(reactor):
    return MemoryWire(reactor=reactor)


@pytest.fixture
def store(wire, reactor):
    tokens = iter(range(1, 1_000_000))
    return Store(
        wire=wire,
        reactor=reactor,
        create_token=lambda: next(tokens).to_bytes(TOKEN, "big"),
    )


@pytest.fixture
def build_gateway(reactor, store):
    """Return a function that builds a gateway with some upstreams."""

    def build(*, name="g1", upstreams=("u1", "u2"), slots=8, routes=None):
        gateway = Gateway(
            reactor=reactor,
            settings=GatewaySettings(
                instance=name,
                data_centre="a",
                region="r",
                ip="10.0.0.9",
                client_port=1,
                ready_port=2,
                peer_port=3,
                copies_port=4,
                metrics_port=5,
                runs_batch=True,
                store_address=("10.0.0.8", 1),
                grace_seconds=8.0,
            ),
            store=store,
            dialect=PlainDialect(),
            metrics=Metrics(),
            incarnation=1,
        )
        gateway.pool = MemoryPool(reactor=reactor)
        gateway.wall_clock = reactor.seconds
        gateway.routes = build_table(routes or [build_route()])
        gateway.upstreams_mirror.is_connected = True
        gateway.directory.update(
            {
                each: build_entry(each, port=number, slots=slots)
                for number, each in enumerate(upstreams, 1)
            }
        )
        return gateway

    return build


@pytest.fixture
def gateway(build_gateway):
    return build_gateway()


@pytest.fixture
def helpers():
    """Builders of routes, heads, entries and events."""
    return types.SimpleNamespace(
        build_entry=build_entry,
        build_events=build_events,
        build_head=build_head,
        build_request=MemoryRequest,
        build_route=build_route,
        build_table=build_table,
    )


@pytest.fixture
def run():
    """Return a function that runs a coroutine that ends at once."""

    def finish(work):
        results = []
        defer.ensureDeferred(work).addBoth(results.append)
        (result,) = results
        if hasattr(result, "raiseException"):
            result.raiseException()
        return result

    return finish
