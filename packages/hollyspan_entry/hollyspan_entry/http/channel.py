"""Connection of a caller."""

from twisted.web import http

__all__ = ["CallerChannel", "build_channel"]


class CallerChannel(http.HTTPChannel):
    """Server connection that keeps only the start of later requests.

    Notes
    -----
    The base class reads on while the caller does not read its answer.
    """

    def rawDataReceived(self, data):
        super().rawDataReceived(data)
        if self._waitingForTransport and self._handlingRequest:
            kept = sum(map(len, self._dataBuffer))
            if kept > self._optimisticEagerReadSize:
                self._networkProducer.pauseProducing()


def build_channel():
    """Return the protocol of a new connection, whose version is not known."""
    return http._GenericHTTPChannelProtocol(CallerChannel())
