"""Free ports for processes that are told theirs."""

import itertools
import secrets
import socket

__all__ = ["pick_port"]

ADDRESS = "127.0.0.1"
# Below the range from which the system takes ports for connections, so
# that none is lost between the choice and its use.
FIRST_PORT = 15_000
PORTS = 17_000

# Ports in turn from a random one: deployments that start side by side
# seldom look at the same ports.
candidates = itertools.count(secrets.randbelow(PORTS))


def pick_port():
    """Return a port that is free for TCP and for UDP.

    Notes
    -----
    A process gets no port twice before it has seen all others.
    """
    for candidate in candidates:
        port = FIRST_PORT + candidate % PORTS
        if is_free(port, socket.SOCK_STREAM) and is_free(
            port, socket.SOCK_DGRAM
        ):
            return port


def is_free(port, kind):
    """Return whether a port is free for sockets of a kind."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True
