"""Reading of one connection in slices, in turns of the loop."""

import collections

__all__ = ["SLICE_BYTES", "TurnReader"]

# Bytes that are parsed at once. A chunk of one byte takes six bytes.
SLICE_BYTES = 4096
# Shortest wait of a sender; without one, turns follow each other that read
# nothing.
MIN_WAIT_S = 0.001


class TurnReader:
    """Hands received bytes to a parser, some in each turn of the loop.

    Parameters
    ----------
    reactor : IReactorTime
    transport : ITransport
        Is paused while bytes wait.
    parse : callable
        Called with the next bytes; returns the work that they were, in
        pieces.
    charge : callable
        Called with the work of a turn; returns the seconds until the next
        slice may be read.
    on_end : callable
        Called with the reason of the connection's end once all bytes that
        came before it have been parsed.
    ask : callable, optional
        Called before each turn; returns the seconds until it may begin.
        Without it, the first slice of each connection is read at once, even
        if the sender has exceeded its share over other connections.
    turn_work : int, optional
        Work after which a turn ends; by default each slice has its own.

    Attributes
    ----------
    pending_bytes : int
        Bytes that wait for their turn.
    slice_bytes : int
        Bytes that are parsed at once; more than usual where their number
        does not determine the work.

    Notes
    -----
    Bytes that fit into one slice are parsed at once unless the sender has to
    wait, so that usual traffic is not delayed.
    """

    __slots__ = (
        "reactor",
        "transport",
        "parse",
        "charge",
        "on_end",
        "ask",
        "turn_work",
        "slices",
        "pending_bytes",
        "slice_bytes",
        "turn",
        "end_reason",
        "is_parsing",
        "is_paused",
        "is_held",
        "is_stopped",
        "resume_at",
    )

    def __init__(
        self,
        *,
        reactor,
        transport,
        parse,
        charge,
        on_end,
        ask=None,
        turn_work=1,
    ):
        self.reactor = reactor
        self.transport = transport
        self.parse = parse
        self.charge = charge
        self.on_end = on_end
        self.ask = ask
        self.turn_work = turn_work
        self.slices = collections.deque()
        self.pending_bytes = 0
        self.slice_bytes = SLICE_BYTES
        self.turn = None
        self.end_reason = None
        self.is_parsing = False
        self.is_paused = False
        self.is_held = False
        self.is_stopped = False
        self.resume_at = 0.0

    def receive(self, data):
        """Parse received bytes now or in later turns.

        Parameters
        ----------
        data : bytes
        """
        if self.is_stopped:
            return
        self.slices.append(data)
        self.pending_bytes += len(data)
        if self.is_held:
            self.pause()
        elif self.turn is None and not self.is_parsing:
            self.take_turn()

    def put_back(self, data):
        """Parse bytes again, before those that wait.

        Parameters
        ----------
        data : bytes
            The last ones that were parsed.
        """
        if self.is_stopped or not data:
            return
        self.slices.appendleft(data)
        self.pending_bytes += len(data)
        if not (self.is_held or self.is_parsing or self.turn is not None):
            self.take_turn()

    def hold(self):
        """Parse nothing until `release`, since the reader is not ready."""
        self.is_held = True
        if self.turn is not None:
            self.turn.cancel()
            self.turn = None
        self.pause()

    def release(self):
        """Parse on in later turns."""
        if not self.is_held:
            return
        self.is_held = False
        if not self.is_parsing:
            self.plan_turn()

    def end(self, reason):
        """Report the end of the connection behind the bytes that wait.

        Parameters
        ----------
        reason : Failure
        """
        self.end_reason = reason
        if self.turn is not None or self.is_parsing:
            return
        if not (self.is_held and self.slices):
            self.finish()

    def stop(self):
        """Drop the bytes that wait and all that are received later."""
        self.is_stopped = True
        self.slices.clear()
        self.pending_bytes = 0
        if self.turn is not None:
            self.turn.cancel()
            self.turn = None

    def take_turn(self):
        """Parse slices up to the work of a turn and plan the next turn."""
        self.turn = None
        if not self.slices:
            self.finish()
            return
        delay = 0.0 if self.ask is None else self.ask()
        if delay > 0.0:
            self.wait(delay)
            self.plan_turn()
            return
        work = 0
        while self.slices and not self.is_held:
            work += self.parse_slice()
            if work >= self.turn_work:
                break
        self.wait(self.charge(work))
        if self.is_stopped:
            return
        if not self.is_held:
            self.plan_turn()
        elif self.end_reason is not None and not self.slices:
            self.finish()

    def wait(self, delay):
        """Begin no turn before some seconds have passed."""
        if delay > 0.0:
            delay = max(delay, MIN_WAIT_S)
        self.resume_at = self.reactor.seconds() + delay

    def parse_slice(self):
        """Parse the next bytes; return their work."""
        data = self.slices.popleft()
        if len(data) > self.slice_bytes:
            self.slices.appendleft(data[self.slice_bytes :])
            data = data[: self.slice_bytes]
        self.pending_bytes -= len(data)
        self.is_parsing = True
        try:
            return self.parse(data)
        except Exception:
            # Outside of a read nothing else would close the connection.
            self.stop()
            self.transport.abortConnection()
            raise
        finally:
            self.is_parsing = False

    def plan_turn(self):
        """Plan the next turn, or read on when no bytes wait."""
        delay = max(0.0, self.resume_at - self.reactor.seconds())
        if self.slices or delay > 0.0:
            self.pause()
            self.turn = self.reactor.callLater(delay, self.take_turn)
        else:
            self.finish()

    def pause(self):
        """Let the transport read nothing more."""
        if self.end_reason is None and not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def finish(self):
        """Read on, or report the end, when no bytes wait."""
        if self.end_reason is not None:
            reason, self.end_reason = self.end_reason, None
            self.on_end(reason)
        elif self.is_paused:
            self.is_paused = False
            self.transport.resumeProducing()
