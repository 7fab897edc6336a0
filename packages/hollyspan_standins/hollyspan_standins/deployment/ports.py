"""Free ports for processes that are told theirs."""

import socket

__all__ = ["pick_port"]

ADDRESS = "127.0.0.1"


def pick_port():
    """Return a port that is free for TCP and for UDP.

    Notes
    -----
    The port is only free at the moment of the call.
    """
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
            stream.bind((ADDRESS, 0))
            port = stream.getsockname()[1]
            if is_free_for_datagrams(port):
                return port


def is_free_for_datagrams(port):
    """Return whether a UDP port is free."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            datagrams.bind((ADDRESS, port))
        except OSError:
            return False
    return True
