"""Free ports for processes that are told theirs."""

import secrets
import socket

__all__ = ["pick_port"]

ADDRESS = "127.0.0.1"


# Below the range from which the system takes ports for connections, so
# that none is lost between the choice and its use.
PORTS = range(15_000, 32_000)


def pick_port():
    """Return a port that is free for TCP and for UDP.

    Notes
    -----
    The port is only free at the moment of the call.
    """
    while True:
        port = secrets.choice(PORTS)
        if is_free_for_connections(port) and is_free_for_datagrams(port):
            return port


def is_free_for_connections(port):
    """Return whether a TCP port is free."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
        try:
            stream.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def is_free_for_datagrams(port):
    """Return whether a UDP port is free."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            datagrams.bind((ADDRESS, port))
        except OSError:
            return False
    return True
