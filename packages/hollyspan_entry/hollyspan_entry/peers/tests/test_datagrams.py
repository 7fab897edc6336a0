"""Datagrams without end at a real socket."""

import socket

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from hollyspan_entry.peers.counters import PeerCounters
from hollyspan_entry.peers.datagrams import Datagrams
from hollyspan_entry.peers.datagrams import MAX_TURN_DATAGRAMS

SENT = 200


class DatagramTest(unittest.TestCase):
    timeout = 20

    # Failure: empty datagrams were read as long as any came, in one turn.
    async def test_a_turn_reads_a_bounded_number_of_datagrams(self):
        counters = PeerCounters()
        datagrams = Datagrams(
            key=b"key",
            counters=counters,
            receive=self.fail,
            reactor=reactor,
        )
        port = reactor.listenUDP(0, datagrams, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(SENT):
                sender.sendto(b"", ("127.0.0.1", port.getHost().port))
        counts = [0]
        while counts[-1] < SENT:
            await end_turn()
            counts.append(counters.received)
        most = max(after - before for before, after in zip(counts, counts[1:]))
        self.assertLessEqual(most, MAX_TURN_DATAGRAMS)


def end_turn():
    done = defer.Deferred()
    reactor.callLater(0, done.callback, None)
    return done
