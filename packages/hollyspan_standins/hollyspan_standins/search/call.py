"""HTTP calls between the gateways of the simulation."""

from hollyspan_core.errors import StreamLostError

from ..memory import PeerCall
from .network import find_host

__all__ = ["CallBetweenGateways"]

ONE_WAY_S = 0.002


class CallBetweenGateways(PeerCall):
    """Call whose two ends are processes that may stand still or end.

    Parameters
    ----------
    source, process : GatewayProcess
        The one that asks and the one that answers.
    connection : MemoryConnection
    """

    def __init__(self, *, source, process, connection):
        super().__init__(
            reactor=source.clock,
            connection=connection,
            sender=find_host(source.port),
            target=process.gateway,
        )
        self.source = source
        self.process = process

    @classmethod
    def open(cls, source, connection):
        """Start a call from one process to the one at an address."""
        process = source.world.find_process(connection.address[0])
        if process is None:
            source.clock.callLater(
                ONE_WAY_S,
                connection.exchange.on_failure,
                StreamLostError("connection closed"),
            )
            return
        call = cls(source=source, process=process, connection=connection)
        source.calls[call] = process.calls[call] = None
        connection.on_cancel = call.close
        process.clock.callLater(ONE_WAY_S, call.arrive)

    def close(self):
        self.forget()
        self.process.clock.callLater(ONE_WAY_S, self.disconnect)

    def forget(self):
        self.source.calls.pop(self, None)
        self.process.calls.pop(self, None)

    def end(self):
        self.forget()
        super().end()

    def abort(self):
        self.forget()
        super().abort()

    def break_off(self):
        """Break the connection: one of the two processes has ended."""
        self.forget()
        if self.is_dead:
            return
        self.is_dead = True
        if not self.process.is_dead:
            self.process.clock.callLater(ONE_WAY_S, self.disconnect)
        if not self.source.is_dead and not self.connection.is_cancelled:
            self.source.clock.callLater(
                ONE_WAY_S,
                self.connection.exchange.on_failure,
                StreamLostError("connection closed"),
            )
