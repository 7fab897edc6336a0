"""Tests of the log line of an event loop that is held."""

import subprocess
import sys

from eliot import testing
import pytest
from twisted.internet import task

from hollyspan_core.loop_watch import LoopWatch

# Holds the loop with bytes that a connection receives.
HELD = """
import time
import eliot
from twisted.internet import endpoints, protocol, reactor
from hollyspan_core.loop_watch import open_loop_watch

class Slow(protocol.Protocol):
    def dataReceived(self, data):
        ends = time.monotonic() + 1.0
        while time.monotonic() < ends:
            pass

class Sender(protocol.Protocol):
    def connectionMade(self):
        self.transport.write(b"x")

eliot.add_destinations(lambda message: print(message, flush=True))
port = reactor.listenTCP(
    0, protocol.Factory.forProtocol(Slow), interface="127.0.0.1"
)
endpoints.connectProtocol(
    endpoints.TCP4ClientEndpoint(
        reactor, "127.0.0.1", port.getHost().port
    ),
    Sender(),
)
reactor.callLater(2.0, reactor.stop)
with open_loop_watch(reactor):
    reactor.run()
"""

# Holds the loop with a datagram; the rest of what reads it must run, too.
HELD_BY_DATAGRAM = """
import time
import eliot
from twisted.internet import protocol, reactor
from hollyspan_core.loop_watch import open_loop_watch

class Slow(protocol.DatagramProtocol):
    def datagramReceived(self, datagram, address):
        ends = time.monotonic() + 1.0
        while time.monotonic() < ends:
            pass
        print("read", flush=True)

eliot.add_destinations(lambda message: print(message, flush=True))
port = reactor.listenUDP(0, Slow(), interface="127.0.0.1")
sender = reactor.listenUDP(
    0, protocol.DatagramProtocol(), interface="127.0.0.1"
)
sender.write(b"x", ("127.0.0.1", port.getHost().port))
reactor.callLater(2.0, reactor.stop)
with open_loop_watch(reactor):
    reactor.run()
"""


@pytest.fixture
def logged():
    """Return the messages that are logged."""
    logger = testing.MemoryLogger()
    previous = testing.swap_logger(logger)
    yield logger.messages
    testing.swap_logger(previous)


def hold(reactor, seconds):
    """Let a turn of the loop take some seconds."""
    reactor.rightNow += seconds
    reactor.advance(0.0)


def test_a_loop_that_is_held_is_logged_with_what_ran(logged):
    reactor = task.Clock()
    alarms = []
    watch = LoopWatch(
        reactor=reactor, set_alarm=alarms.append, read_cpu=lambda: 3.0
    )
    watch.start()
    reactor.advance(0.25)
    assert logged == []
    watch.note_frame(14, sys._getframe())
    hold(reactor, 1.25)
    (line,) = logged
    assert line["message_type"] == "loop:held"
    assert line["seconds"] == 1.0
    assert line["cpu_seconds"] == 0.0
    assert "test_a_loop_that_is_held" in line["functions"][0]
    watch.stop()
    assert alarms[-1] == 0.0
    assert not reactor.getDelayedCalls()


def test_a_loop_that_is_held_often_is_logged_rarely(logged):
    reactor = task.Clock()
    watch = LoopWatch(reactor=reactor)
    watch.start()
    for _ in range(8):
        hold(reactor, 1.0)
    assert len(logged) == 2
    assert logged[1]["times"] == 5
    assert logged[1]["longest"] == 0.75


def run_program(text):
    """Run a program and return the lines that it prints."""
    process = subprocess.run(
        [sys.executable, "-c", text],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert process.returncode == 0, process.stderr
    return process.stdout.splitlines()


def test_a_process_tells_which_connection_holds_its_loop():
    (line,) = run_program(HELD)
    assert "'loop:held'" in line
    assert "__main__:dataReceived" in line
    assert "'protocol': 'Slow'" in line
    assert "'sender': '127.0.0.1:" in line


# Failure: the alarm raised NotImplementedError in the reading of a datagram.
def test_a_process_tells_whose_datagram_holds_its_loop():
    read, line = run_program(HELD_BY_DATAGRAM)
    assert read == "read"
    assert "'loop:held'" in line
    assert "__main__:datagramReceived" in line
    assert "'protocol': 'Slow'" in line
    assert "'sender': '127.0.0.1:" in line


def test_an_error_in_the_alarm_does_not_reach_what_holds_the_loop(logged):
    class Broken:
        @property
        def transport(self):
            raise OSError("closed")

        def dataReceived(self, data):
            watch.note_frame(14, sys._getframe())

    reactor = task.Clock()
    watch = LoopWatch(reactor=reactor)
    watch.start()
    Broken().dataReceived(b"")
    hold(reactor, 1.25)
    (line,) = logged
    assert line["functions"] == []
    assert "closed" in line["reason"]
