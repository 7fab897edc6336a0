"""Free ports for processes that are told theirs."""

import secrets
import socket

__all__ = ["pick_port"]

ADDRESS = "127.0.0.1"
# Below the range from which the system takes ports for connections, so
# that none is lost between the choice and its use.
PORTS = range(15_000, 32_000)

picked = set()


def pick_port():
    """Return a port that is free for TCP and for UDP.

    Notes
    -----
    No port is returned twice by one process.
    """
    while True:
        port = secrets.choice(PORTS)
        if port in picked:
            continue
        if is_free(port, socket.SOCK_STREAM) and is_free(
            port, socket.SOCK_DGRAM
        ):
            picked.add(port)
            return port


def is_free(port, kind):
    """Return whether a port is free for sockets of a kind."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True
