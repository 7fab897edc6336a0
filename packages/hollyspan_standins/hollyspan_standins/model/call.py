"""A call from a simulated gateway to an engine."""

from contextlib import ExitStack

from .stream import EngineStream

__all__ = ["EngineCall"]


class EngineCall:
    """A stream at an engine, with the network delay in each direction.

    Parameters
    ----------
    gateway : GatewayModel
    upstream : Upstream
    track : context manager
        Counts the call as in flight at the upstream until it ends.
    parts, tokens, resumed_tokens
        See `EngineStream`.
    on_event : callable
        Called with the tokens generated so far and the engine's LoadReport.
    on_end : callable
        Called with the reason for the end.

    Attributes
    ----------
    is_over : bool
        Whether the gateway no longer expects events.
    generated : int
        Tokens in the last event.
    """

    __slots__ = (
        "gateway",
        "upstream",
        "engine",
        "delay",
        "on_event",
        "on_end",
        "exit_stack",
        "stream",
        "is_over",
        "generated",
        "time_event",
    )

    def __init__(
        self,
        *,
        gateway,
        upstream,
        track,
        parts,
        tokens,
        resumed_tokens,
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
        self.exit_stack = ExitStack()
        run = self.exit_stack.enter_context(track)
        self.generated = resumed_tokens
        self.time_event = gateway.placement.paces.watch(
            run, lambda data: None, lambda: self.generated
        )
        self.stream = EngineStream(
            parts=parts,
            tokens=tokens,
            resumed_tokens=resumed_tokens,
            on_event=lambda stream: self.call_later(
                self.handle_event, stream.generated, self.engine.report_load()
            ),
            on_end=lambda _, reason: self.call_later(self.handle_end, reason),
        )
        self.call_later(self.engine.submit, self.stream)

    def call_later(self, function, *args):
        """Call a function after the network delay."""
        self.gateway.clock.call_later(self.delay, function, *args)

    def handle_event(self, generated, load):
        if not self.is_over:
            self.generated = generated
            self.time_event(None)
            self.on_event(generated, load)

    def handle_end(self, reason):
        if not self.is_over:
            self.end()
            self.on_end(reason)

    def cancel(self):
        """Cancel the stream and ignore its remaining events."""
        self.call_later(self.engine.remove, self.stream)
        self.end()

    def end(self):
        self.is_over = True
        self.exit_stack.close()
