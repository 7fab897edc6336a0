"""Datagrams between the gateways of the simulation."""

from ..memory.network import ADDRESS
from ..memory.network import find_host

__all__ = ["ADDRESS", "Transport", "find_host"]


class Transport:
    """Datagram transport of one gateway.

    Parameters
    ----------
    world : World
    process : GatewayProcess
    """

    def __init__(self, *, world, process):
        self.world = world
        self.process = process

    def write(self, datagram, address):
        world = self.world
        if self.process.is_dead or world.loses_datagram(
            self.process.port, address[1]
        ):
            return
        target = world.processes.get(address[1])
        if target is not None:
            source = (find_host(self.process.port), self.process.port)
            target.clock.callLater(
                world.find_peer_delay(self.process, target),
                target.gateway.peers.datagramReceived,
                datagram,
                source,
            )
