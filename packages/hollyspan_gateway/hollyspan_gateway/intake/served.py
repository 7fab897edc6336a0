"""Limits on clients and peers that a gateway serves."""

import collections
import itertools

import eliot

from hollyspan_policy.intake import ByteBudget
from hollyspan_policy.intake import WorkShares

__all__ = [
    "DatagramIntake",
    "MALFORMED_DATAGRAM_WORK",
    "MAX_ALL_BODY_BYTES",
    "MAX_CONNECTIONS",
    "MAX_DATAGRAM_WORDS",
    "MAX_EXCESS_BODY_BYTES",
    "MAX_UNREGISTERED_PEERS",
    "MIN_BODY_RATE",
    "ReadGate",
    "ServedIntake",
]

MIB = 1024 * 1024
# Bytes of an answer that a client has not read, from which on no more are
# written; an answer that is written as a whole may be longer.
MAX_UNSENT_BYTES = MIB
MAX_ALL_UNSENT_BYTES = 32 * MIB
# Bodies of requests that are kept at once, where the settings name no memory.
MAX_ALL_BODY_BYTES = 32 * MIB
# Bytes that are read behind the limit on a body to answer its request.
MAX_EXCESS_BODY_BYTES = MIB
# Slowest body that is waited for, bytes a second.
MIN_BODY_RATE = 64 * 1024
# Connections of one port: half of a process's descriptors on the users' site.
MAX_CONNECTIONS = 2000
# Lines that are read, of some microseconds each: of one connection, and of
# all that exceed their share.
WORK_RATE = 10_000.0
WORK_BURST = 4_000.0
EXCESS_WORK_RATE = 20_000.0
# Content of a datagram, words of eight bytes: a full message on 1,000
# upstreams, each with a limit, takes 9,000.
MAX_DATAGRAM_WORDS = 16_384
# Gateways that send datagrams and are not registered in the store yet.
MAX_UNREGISTERED_PEERS = 400
# Datagrams and the loads in them that are read: of one address, which may
# be that of several gateways, and of all that exceed their share.
DATAGRAM_RATE = 5_000.0
DATAGRAM_BURST = 10_000.0
EXCESS_DATAGRAM_RATE = 5_000.0
# What one takes that cannot be decoded.
MALFORMED_DATAGRAM_WORK = 10
# Interval between two log lines on refused datagrams.
DATAGRAM_LOG_INTERVAL_S = 10.0


class ServedIntake:
    """What one server keeps and reads for all its connections.

    Parameters
    ----------
    reactor : IReactorTime
    max_unsent_bytes, max_all_unsent_bytes, max_all_body_bytes : int, optional

    Attributes
    ----------
    bodies : ByteBudget
    shares : WorkShares
        Work by number of a connection.
    unsent : dict
        Bytes that wait in the transport, by channel, of clients that have
        stopped to read.
    """

    __slots__ = (
        "reactor",
        "max_unsent_bytes",
        "max_all_unsent_bytes",
        "bodies",
        "shares",
        "unsent",
        "all_unsent_bytes",
        "numbers",
    )

    def __init__(
        self,
        *,
        reactor,
        max_unsent_bytes=MAX_UNSENT_BYTES,
        max_all_unsent_bytes=MAX_ALL_UNSENT_BYTES,
        max_all_body_bytes=MAX_ALL_BODY_BYTES,
    ):
        self.reactor = reactor
        self.max_unsent_bytes = max_unsent_bytes
        self.max_all_unsent_bytes = max_all_unsent_bytes
        self.bodies = ByteBudget(
            what="the bodies of requests", limit=max_all_body_bytes
        )
        self.shares = WorkShares(
            rate=WORK_RATE,
            burst=WORK_BURST,
            excess_rate=EXCESS_WORK_RATE,
        )
        self.unsent = {}
        self.all_unsent_bytes = 0
        self.numbers = itertools.count()

    def charge(self, number, work):
        """Charge a connection; return the seconds until more may be read."""
        return self.shares.charge(number, work, now=self.reactor.seconds())

    def keeps_too_much(self, channel):
        """Return whether no more may be written for a client."""
        return self.unsent.get(channel, 0) > self.max_unsent_bytes

    def keep_unsent(self, channel, size):
        """Count bytes that wait for a client.

        Parameters
        ----------
        channel : ClientChannel
        size : int

        Returns
        -------
        ClientChannel or None
            The one with most bytes when all together exceed their limit.
        """
        self.unsent[channel] = self.unsent.get(channel, 0) + size
        self.all_unsent_bytes += size
        if self.all_unsent_bytes <= self.max_all_unsent_bytes:
            return None
        return max(self.unsent, key=self.unsent.get)

    def release_unsent(self, channel):
        """Count no bytes for a client that has read them, or has gone."""
        self.all_unsent_bytes -= self.unsent.pop(channel, 0)


class ReadGate:
    """Reading of one connection, paused for as long as anyone asks for it.

    Parameters
    ----------
    transport : IPushProducer

    Notes
    -----
    The protocol pauses reading while it handles a request, and the turns of
    the loop do so while received bytes wait. Neither must resume it for the
    other.
    """

    __slots__ = ("transport", "pauses")

    def __init__(self, *, transport):
        self.transport = transport
        self.pauses = set()

    def pause(self, name):
        """Pause reading for one reason."""
        if not self.pauses:
            self.transport.pauseProducing()
        self.pauses.add(name)

    def resume(self, name):
        """Resume reading unless another reason is left."""
        if name not in self.pauses:
            return
        self.pauses.discard(name)
        if not self.pauses:
            self.transport.resumeProducing()

    def build_producer(self, name):
        """Return a producer that pauses for one reason."""
        return GateProducer(gate=self, name=name)


class GateProducer:
    """Pauses and resumes a `ReadGate` for one reason."""

    __slots__ = ("gate", "name")

    def __init__(self, *, gate, name):
        self.gate = gate
        self.name = name

    def pauseProducing(self):
        self.gate.pause(self.name)

    def resumeProducing(self):
        self.gate.resume(self.name)

    def unregisterProducer(self):
        self.gate.transport.unregisterProducer()


class DatagramIntake:
    """Work that reading datagrams takes, by the address of their sender.

    Parameters
    ----------
    reactor : IReactorTime

    Attributes
    ----------
    refused : dict
        Datagrams refused since the last log line, and its time, by its type.
    counts : collections.Counter
        All refused datagrams, by the type of their log line.
    """

    __slots__ = ("reactor", "shares", "refused", "counts")

    def __init__(self, *, reactor):
        self.reactor = reactor
        self.shares = WorkShares(
            rate=DATAGRAM_RATE,
            burst=DATAGRAM_BURST,
            excess_rate=EXCESS_DATAGRAM_RATE,
        )
        self.refused = {}
        self.counts = collections.Counter()

    def may_read(self, host):
        """Return whether a datagram of an address may be read."""
        now = self.reactor.seconds()
        if self.shares.find_wait(host, now=now) == 0.0:
            return True
        self.refuse(host, "its sender exceeds its share")
        return False

    def charge(self, host, work):
        """Charge an address for what has been read."""
        self.shares.charge(host, work, now=self.reactor.seconds())

    def refuse(self, host, reason, *, message="peer:refused"):
        """Count a refused datagram, and log it now and then.

        Parameters
        ----------
        host : str
        reason : str
        message : str, optional
            Type of the log line.
        """
        now = self.reactor.seconds()
        self.counts[message] += 1
        count, logged_at = self.refused.get(message, (0, None))
        is_due = (
            logged_at is None or now - logged_at >= DATAGRAM_LOG_INTERVAL_S
        )
        if is_due:
            eliot.log_message(
                message, sender=host, reason=reason, count=count + 1
            )
        self.refused[message] = (0, now) if is_due else (count + 1, logged_at)
