"""In-memory network that carries the datagrams of several gateways."""

__all__ = ["ADDRESS", "MemoryNetwork", "find_host"]

# Of all upstreams, which have ports of their own.
ADDRESS = "10.0.0.1"
FIRST_GATEWAY_PORT = 1000


class MemoryNetwork:
    """Delivers datagrams between the gateways of one test at once.

    Attributes
    ----------
    gateways : dict
        Gateway by its port.
    blocked : set of (int, int)
        Ports of sender and receiver between which datagrams are dropped.
    delivered : list of (int, int)
        Ports of sender and receiver of each datagram that was not dropped.
    """

    def __init__(self):
        self.gateways = {}
        self.blocked = set()
        self.delivered = []

    def join(self, gateway, port):
        """Connect a gateway, in place of an earlier one with its port."""
        self.gateways[port] = gateway
        gateway.peers.transport = Transport(network=self, port=port)

    def isolate(self, port):
        """Drop all datagrams from and to a gateway."""
        for other in self.gateways:
            self.blocked |= {(port, other), (other, port)}


class Transport:
    """Datagram transport of one gateway."""

    def __init__(self, *, network, port):
        self.network = network
        self.port = port

    def write(self, datagram, address):
        if (self.port, address[1]) in self.network.blocked:
            return
        self.network.delivered.append((self.port, address[1]))
        target = self.network.gateways.get(address[1])
        if target is not None:
            source = (find_host(self.port), self.port)
            target.peers.datagramReceived(datagram, source)


def find_host(port):
    """Return the address of the gateway with a port."""
    number = port - FIRST_GATEWAY_PORT
    return f"10.1.{number // 250}.{number % 250 + 1}"
