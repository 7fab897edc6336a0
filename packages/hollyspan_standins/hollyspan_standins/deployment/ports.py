"""Free ports for processes that are started with a fixed port."""

import itertools
import secrets
import socket

__all__ = ["pick_port"]

ADDRESS = "127.0.0.1"
# Below the ephemeral port range, so that the system does not assign a port to
# a connection before the process has bound it.
FIRST_PORT = 15_000
PORT_COUNT = 17_000

# The sequence begins at a random port, so that deployments started at the same
# time rarely try the same ports.
port_candidates = itertools.count(secrets.randbelow(PORT_COUNT))


def pick_port():
    """Return a port that is free for TCP and for UDP.

    Notes
    -----
    Within this process no port is returned again before all other candidates
    have been tried.
    """
    for candidate in port_candidates:
        port = FIRST_PORT + candidate % PORT_COUNT
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
