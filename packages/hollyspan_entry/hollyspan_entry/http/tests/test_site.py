"""Bodies of callers in small pieces."""

from twisted.internet import address
from twisted.internet import task
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.web import http
from twisted.web import resource

from hollyspan_core.intake.turns import SLICE_BYTES
from hollyspan_entry.files.request import BODY_TIMEOUT_S
from hollyspan_entry.files.request import build_request_factory
from hollyspan_entry.http import DrainingSite
from hollyspan_entry.intake.limits import SENDER_PIECES_PER_S

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"


class EchoResource(resource.Resource):
    """Answers with the body of the request."""

    isLeaf = True

    def render_POST(self, request):
        return request.content.read()


def build_site(clock):
    return DrainingSite(
        EchoResource(),
        requestFactory=build_request_factory(None),
        reactor=clock,
    )


class Harness:
    """A caller's connection whose other side is played by the test."""

    def __init__(self, *, site=None, port=1):
        self.site = site or build_site(task.Clock())
        self.clock = self.site.reactor
        self.connection = self.site.buildProtocol(None)
        self.connection.callLater = self.clock.callLater
        self.transport = StringTransportWithDisconnection(
            peerAddress=address.IPv4Address("TCP", "127.0.0.1", port)
        )
        self.transport.abortConnection = self.transport.loseConnection
        self.transport.protocol = self.connection
        self.connection.makeConnection(self.transport)

    @property
    def content(self):
        """Body of the request, as far as it was read."""
        return self.connection._channel.requests[-1].content

    def take_turn(self):
        """Run the calls that are due now, not those that they plan."""
        now = self.clock.seconds()
        for call in [c for c in self.clock.calls if c.getTime() <= now]:
            self.clock.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)


# Failure: a read of 64 kB in chunks of one byte was parsed in one turn.
def test_a_turn_parses_one_slice_of_a_body():
    harness = Harness()
    harness.connection.dataReceived(HEAD)
    harness.connection.dataReceived(ONE_BYTE * 3000)
    sizes = [0]
    while (size := harness.content.tell()) < 3000:
        sizes.append(size)
        assert harness.transport.producerState == "paused"
        harness.take_turn()
    sizes.append(size)
    most = max(after - before for before, after in zip(sizes, sizes[1:]))
    assert 0 < most <= SLICE_BYTES // len(ONE_BYTE) + 1


def test_a_body_in_small_pieces_is_answered_whole():
    harness = Harness()
    harness.connection.dataReceived(HEAD + ONE_BYTE * 3000 + b"0\r\n\r\n")
    for _ in range(100):
        harness.clock.advance(0.1)
    assert b"x" * 3000 in harness.transport.value()


def test_a_caller_of_small_pieces_waits():
    harness = Harness()
    harness.connection.dataReceived(HEAD + ONE_BYTE * 100_000)
    harness.clock.advance(1.0)
    assert harness.content.tell() < 20_000


# Failure: a body could come for ever, a byte now and then.
def test_a_body_that_trickles_is_given_up():
    harness = Harness()
    harness.connection.dataReceived(HEAD)
    seconds = 0.0
    while harness.transport.connected:
        assert seconds < 2 * BODY_TIMEOUT_S
        harness.connection.dataReceived(ONE_BYTE)
        harness.clock.advance(5.0)
        seconds += 5.0


def test_a_body_that_came_whole_is_not_timed():
    harness = Harness()
    harness.connection.dataReceived(HEAD + ONE_BYTE + b"0\r\n\r\n")
    assert harness.transport.value().endswith(b"x")
    harness.clock.advance(10.0)
    assert harness.transport.connected
    assert [c.getTime() for c in harness.clock.calls if c.active()] == [
        harness.connection._channel.timeOut
    ]


def test_many_callers_of_small_pieces_have_one_share_together():
    site = build_site(task.Clock())
    callers = [Harness(site=site, port=port) for port in range(1, 9)]
    for caller in callers:
        caller.connection.dataReceived(HEAD + ONE_BYTE * 100_000)
    read = []
    for _ in range(400):
        site.reactor.advance(0.01)
        read.append(sum(caller.content.tell() for caller in callers))
    # The last second, when all bursts are used up; a slice for each.
    overdraft = len(callers) * (SLICE_BYTES // len(ONE_BYTE) + 1)
    assert read[-1] - read[-101] <= SENDER_PIECES_PER_S + overdraft


# Failure: what a caller sent while it read no answer was kept without end.
def test_a_caller_that_sends_but_does_not_read_is_not_read():
    harness = Harness()
    channel = harness.connection._channel
    requests = []
    channel.requestFactory = lambda *args: KeptRequest(*args, kept=requests)
    data = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
    harness.connection.dataReceived(data)
    assert requests
    # As the transport does while its buffer is full.
    harness.transport.producer.pauseProducing()
    sent = 0
    while harness.transport.producerState == "producing" and sent < 100:
        harness.connection.dataReceived(data * 1000)
        harness.clock.pump([0.0] * 50)
        sent += 1
    assert sent < 10
    harness.transport.producer.resumeProducing()
    requests[0].finish()
    harness.clock.pump([0.0] * 50)
    assert len(requests) == 2
    while len(requests) <= 1000 * sent:
        requests[-1].finish()
        harness.clock.pump([0.0] * 20)
    requests[-1].finish()
    assert harness.transport.producerState == "producing"


class KeptRequest(http.Request):
    """Request that a test answers."""

    def __init__(self, *args, kept):
        super().__init__(*args)
        self.kept = kept

    def process(self):
        self.kept.append(self)
