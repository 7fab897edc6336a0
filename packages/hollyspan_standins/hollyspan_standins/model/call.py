"""One call of a simulated gateway to an engine."""

from contextlib import ExitStack

from .stream import EngineStream

__all__ = ["EngineCall"]


class EngineCall:
    """A stream at an engine, with the delays on the way there and back.

    Parameters
    ----------
    gateway : GatewayModel
    upstream : Upstream
    track : context manager
        Counts the call at the upstream until it ends.
    parts, tokens, done
        See `EngineStream`.
    on_event : callable
        Called with the tokens generated so far and the engine's load.
    on_end : callable
        Called with the reason of the end.

    Attributes
    ----------
    is_over : bool
        True once the gateway waits for nothing more.
    """

    __slots__ = (
        "gateway",
        "upstream",
        "engine",
        "delay",
        "on_event",
        "on_end",
        "holds",
        "stream",
        "is_over",
    )

    def __init__(
        self,
        *,
        gateway,
        upstream,
        track,
        parts,
        tokens,
        done,
        on_event,
        on_end,
    ):
        self.gateway = gateway
        self.upstream = upstream
        self.engine = gateway.fleet.engines[upstream.entry.name]
        self.delay = gateway.fleet.find_delay(
            gateway.data_centre, upstream.entry.data_centre
        )
        self.on_event = on_event
        self.on_end = on_end
        self.is_over = False
        self.holds = ExitStack()
        self.holds.enter_context(track)
        self.stream = EngineStream(
            parts=parts,
            tokens=tokens,
            done=done,
            on_event=lambda stream: self.call_later(
                self.take_event, stream.generated, self.engine.load
            ),
            on_end=lambda _, reason: self.call_later(self.take_end, reason),
        )
        self.call_later(self.engine.submit, self.stream)

    def call_later(self, function, *args):
        """Call a function at the other end of the way."""
        self.gateway.clock.call_later(self.delay, function, *args)

    def take_event(self, generated, load):
        if not self.is_over:
            self.on_event(generated, load)

    def take_end(self, reason):
        if not self.is_over:
            self.end()
            self.on_end(reason)

    def cancel(self):
        """Stop the stream and wait for nothing more."""
        self.call_later(self.engine.remove, self.stream)
        self.end()

    def end(self):
        self.is_over = True
        self.holds.close()
