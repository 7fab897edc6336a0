"""Free ports for processes that are started with a fixed port."""

import functools
import itertools
import secrets
import socket

from .errors import NoPortError

__all__ = ["ADDRESS", "choose_loopback_address", "pick_port"]

ADDRESS = "127.0.0.1"
# Below the ephemeral port range, so that the system does not assign a port to
# a connection before the process has bound it.
FIRST_PORT = 15_000
# More ports than the largest deployment has.
BLOCK_PORTS = 250
BLOCK_COUNT = 68


class PortBlock:
    """Ports that belong to this program as long as it runs.

    Attributes
    ----------
    lock : socket.socket
        Bound to the block's name, which the system frees with the program.
    candidates : iterator of int
    """

    __slots__ = ("lock", "candidates")

    def __init__(self, *, lock, first_port):
        self.lock = lock
        ports = range(first_port, first_port + BLOCK_PORTS)
        self.candidates = itertools.cycle(ports)


def pick_port():
    """Return a port that is free for TCP and for UDP.

    Raises
    ------
    NoPortError
        Other programs use all ports.

    Notes
    -----
    No other program is given the port, also while the process that listens
    there ends and starts again. Within this program no port is returned again
    before all others have been tried.
    """
    for port in itertools.islice(claim_block().candidates, BLOCK_PORTS):
        if is_free(port, socket.SOCK_STREAM) and is_free(
            port, socket.SOCK_DGRAM
        ):
            return port
    raise NoPortError("all ports of this program are in use")


def choose_loopback_address():
    """Return a random address of this machine but the usual one.

    Returns
    -------
    str

    Notes
    -----
    Programs go on calling the addresses of processes that have ended. A server
    with an address of its own gets none of these calls, whatever its port.
    """
    first, second, third = (1 + secrets.randbelow(62) for _ in range(3))
    return f"127.{first}.{second}.{third}"


@functools.cache
def claim_block():
    """Claim a block of ports that no other program has, at the first call.

    Returns
    -------
    PortBlock
    """
    start = secrets.randbelow(BLOCK_COUNT)
    for offset in range(BLOCK_COUNT):
        number = (start + offset) % BLOCK_COUNT
        lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            # An abstract name needs no file and ends with the program.
            lock.bind(f"\0hollyspan-ports-{number}")
        except OSError:
            lock.close()
            continue
        return PortBlock(
            lock=lock, first_port=FIRST_PORT + number * BLOCK_PORTS
        )
    raise NoPortError("other programs have claimed all ports")


def is_free(port, kind):
    """Return whether a port is free for sockets of a kind."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True
