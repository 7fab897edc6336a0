"""Limits on one connection of the HTTP client."""

import eliot

from hollyspan_core.errors import IntakeExceededError
from hollyspan_policy.intake import IntakeMeter

from .limits import HEAD
from .paced import PacedConnection

__all__ = ["ClientConnection"]


class ClientConnection(PacedConnection):
    """Reads one connection of the HTTP client within limits.

    Parameters
    ----------
    connection : HTTP11ClientProtocol
        New protocol without a transport.
    reactor : IReactorTime
    shares : WorkShares

    Attributes
    ----------
    head : IntakeMeter or None
        What was read of the head of the current answer.
    """

    __slots__ = ("send_request", "put_back", "head")

    def __init__(self, *, connection, reactor, shares):
        super().__init__(connection=connection, reactor=reactor, shares=shares)
        self.send_request = connection.request
        self.put_back = connection._quiescentCallback
        connection.request = self.request
        connection._quiescentCallback = self.keep_or_close
        self.head = None

    def request(self, request):
        """Send a request; the head of its answer is limited."""
        head = self.head = IntakeMeter(limits=HEAD)

        def leave_head(result):
            if self.head is head:
                self.head = None
            return result

        return self.send_request(request).addBoth(leave_head)

    def parse(self, data):
        """Hand a slice to the HTTP client; return its work."""
        head = self.head
        work = super().parse(data)
        if head is None or self.head is not head:
            return work
        lines = data.count(b"\n")
        self.check_head(head, len(data), lines)
        return work + lines

    def check_head(self, head, size, lines):
        """Reset the connection when a head exceeds its limits."""
        try:
            head.count(size, pieces=lines)
        except IntakeExceededError as error:
            eliot.log_message(
                message_type="intake:exceeded",
                sender=self.sender,
                reason=error.message,
            )
            self.transport.abortConnection()

    def keep_or_close(self, connection):
        """Keep the connection for later requests unless bytes are left.

        They would be taken for the answer to the next request.
        """
        if self.turns.pending_bytes:
            eliot.log_message(
                message_type="intake:left-over",
                sender=self.sender,
                bytes=self.turns.pending_bytes,
            )
            self.transport.loseConnection()
        else:
            self.put_back(connection)
