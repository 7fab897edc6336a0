"""Server that answers each request with the next scripted answer."""

from twisted.internet import protocol
from twisted.internet import reactor

from .answer import Ending

__all__ = ["ScriptedServer"]

HEAD_END = b"\r\n\r\n"
# Time in which sent bytes arrive before the connection is reset; a reset
# discards what the other side has not read.
RESET_DELAY_S = 0.01


class ScriptedServer(protocol.Factory):
    """Server that answers each request with the next scripted answer.

    Parameters
    ----------
    answers : iterable of ScriptedAnswer
        One for each request; the last one is repeated.
    is_scripted : callable, optional
        Takes the target of a request; a request for which it returns False
        gets 404 instead of the next answer.

    Attributes
    ----------
    requests : list of (str, str)
        Method and target of each request.
    connections : list of ScriptedConnection
        All connections that were accepted.
    """

    noisy = False

    def __init__(self, *, answers, is_scripted=lambda target: True):
        self.answers = list(answers)
        self.is_scripted = is_scripted
        self.requests = []
        self.connections = []

    def buildProtocol(self, addr):
        connection = ScriptedConnection(server=self)
        self.connections.append(connection)
        return connection

    def choose_answer(self, target):
        """Return the answer to the next request, None for 404."""
        if not self.is_scripted(target):
            return None
        return self.answers.pop(0) if self.answers[1:] else self.answers[0]

    def close(self):
        """Close all connections."""
        for connection in self.connections:
            connection.transport.abortConnection()


class ScriptedConnection(protocol.Protocol):
    """One connection of a scripted server."""

    def __init__(self, *, server):
        self.server = server
        self.buffer = b""

    def dataReceived(self, data):
        self.buffer += data
        head, end, rest = self.buffer.partition(HEAD_END)
        if not end:
            return
        length = find_length(head)
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        method, target, _ = head.decode("latin-1").split(" ", 2)
        self.server.requests.append((method, target))
        self.answer(self.server.choose_answer(target))

    def answer(self, answer):
        if answer is None:
            self.transport.write(
                b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
            )
            return
        self.transport.write(answer.content)
        if answer.ending is Ending.CLOSE:
            self.transport.loseConnection()
        elif answer.ending is Ending.RESET:
            reactor.callLater(RESET_DELAY_S, self.transport.abortConnection)


def find_length(head):
    """Return the length of a request's body."""
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            return int(value)
    return 0
