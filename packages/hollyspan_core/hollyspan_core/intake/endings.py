"""How the other end has closed a connection."""

import fcntl
import socket
import struct
import termios

from twisted.internet import error
from twisted.python import failure

__all__ = ["find_end_reason"]

# First byte of `struct tcp_info` in linux/tcp.h: the state of the connection,
# and its value once a reset has ended it, from net/tcp_states.h.
TCP_INFO_BYTES = 1
TCP_CLOSE = 7


def find_end_reason(transport):
    """Return how a connection has ended of which nothing more can be read.

    Parameters
    ----------
    transport : ITCPTransport
        Whose socket is still open.

    Returns
    -------
    Failure
        ConnectionDone if the other end has closed it in order after it had
        received all that was sent, else ConnectionLost.

    Notes
    -----
    A reset that was seen by a write first, or that follows a close of the
    other end, looks like a close in order to the next read. A program that
    closes a connection before it has read all that was sent resets it, though
    that may arrive later than the close; bytes that were not acknowledged
    tell it sooner.
    """
    if is_reset(transport.getHandle()):
        return failure.Failure(error.ConnectionLost("reset"))
    if count_unsent(transport):
        return failure.Failure(
            error.ConnectionLost("closed before the request was sent")
        )
    return failure.Failure(error.ConnectionDone())


def is_reset(handle):
    """Return whether a socket has been reset."""
    try:
        info = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        # Not offered on all systems.
        return False
    return bool(info) and info[0] == TCP_CLOSE


def count_unsent(transport):
    """Return the bytes that the other end has not acknowledged."""
    # Twisted has no public way to ask for these.
    buffered = len(transport.dataBuffer) - transport.offset
    buffered += transport._tempDataLen
    try:
        content = fcntl.ioctl(
            transport.getHandle(), termios.TIOCOUTQ, struct.pack("i", 0)
        )
    except (OSError, ValueError):
        # Not offered on all systems.
        return buffered
    return buffered + struct.unpack("i", content)[0]
