"""UDP links with one socket to the target for each source address."""

from twisted.internet.protocol import DatagramProtocol

from .pipe import Pipe

__all__ = ["UdpRelay"]

ADDRESS = "127.0.0.1"


class UdpSession(DatagramProtocol):
    """Forwards the datagrams of one source address.

    Parameters
    ----------
    relay : UdpRelay
    source : tuple
        Address and port of the source.
    """

    noisy = False

    def __init__(self, *, relay, source):
        self.relay = relay
        self.source = source
        link = relay.link
        self.requests = Pipe(
            link=link, write=self._send_request, close=self._close
        )
        self.replies = Pipe(
            link=link, write=self._send_reply, close=self._close
        )

    def datagramReceived(self, data, address):
        link = self.relay.link
        if link.cut or link.consume_dropped_reply():
            return
        link.reply_bytes += len(data)
        self.replies.push(data)

    def _send_request(self, data):
        if not self.relay.link.cut:
            link = self.relay.link
            self.transport.write(data, (link.host, link.target))

    def _send_reply(self, data):
        if not self.relay.link.cut:
            self.relay.transport.write(data, self.source)

    def _close(self):
        """Do nothing, as datagrams have no end of stream."""


class UdpRelay(DatagramProtocol):
    """Receives the datagrams for one link.

    Parameters
    ----------
    link : Link
    """

    noisy = False

    def __init__(self, *, link):
        self.link = link
        self.sessions = {}

    def datagramReceived(self, data, address):
        if self.link.cut:
            return
        self.link.request_bytes += len(data)
        self._find_session(address).requests.push(data)

    def _find_session(self, source):
        session = self.sessions.get(source)
        if session is None:
            session = UdpSession(relay=self, source=source)
            self.sessions[source] = session
            self.link.reactor.listenUDP(0, session, interface=ADDRESS)
        return session
