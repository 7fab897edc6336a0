"""Connection of a caller."""

from twisted.web import http

__all__ = ["CallerChannel", "build_channel"]


class CallerChannel(http.HTTPChannel):
    """Server connection that keeps only the start of later requests.

    Attributes
    ----------
    paced : PacedConnection or None
        Reads the connection.
    is_last_told : bool
        True once an answer in a stop has told that the connection closes;
        requests behind it are refused.

    Notes
    -----
    The base class reads on while the caller does not read its answer.
    """

    paced = None
    is_last_told = False
    idle_call = None

    @property
    def has_later(self):
        """Whether bytes wait behind the request that is handled, if any."""
        return bool(
            self._buffer
            or any(self._dataBuffer)
            or (self.paced is not None and self.paced.turns.pending_bytes)
        )

    @property
    def is_idle(self):
        """Whether there is no request, and no byte of one."""
        return not (self.requests or self.has_later)

    def writeHeaders(self, version, code, reason, headers):
        """Write the head of an answer; the last one in a stop says so.

        One that others follow does not, since none is handled behind it.
        """
        if self.site.is_closing and self.persistent:
            if self.is_last_told or not self.has_later:
                headers.setRawHeaders(b"connection", [b"close"])
                self.persistent = False
                self.is_last_told = True
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request):
        if self.is_last_told and self.has_later:
            # Sent before the caller had read that the connection closes.
            self.persistent = True
        super().requestDone(request)

    def timeoutConnection(self):
        if self.is_idle:
            self.close_unless_used(close=super().timeoutConnection)
        else:
            super().timeoutConnection()

    def close_unless_used(self, *, close=None):
        """Close an idle connection, after a turn of the loop that reads it.

        Timers are called before what came while the process stood still is
        read.

        Parameters
        ----------
        close : callable, optional
            Closes it; without one, what is unsent may take its time.
        """
        if self.idle_call is None:
            self.idle_call = self.callLater(
                0, self.close_unused, close or self.loseConnection
            )

    def close_unused(self, close):
        """Close the connection if it is still idle."""
        self.idle_call = None
        if self.is_idle:
            close()
        elif not self._handlingRequest:
            # The rest of the request is waited for.
            self.setTimeout(self.timeOut)

    def connectionLost(self, reason):
        if self.idle_call is not None:
            self.idle_call.cancel()
            self.idle_call = None
        super().connectionLost(reason)

    def rawDataReceived(self, data):
        super().rawDataReceived(data)
        if self._waitingForTransport and self._handlingRequest:
            kept = sum(map(len, self._dataBuffer))
            if kept > self._optimisticEagerReadSize:
                self._networkProducer.pauseProducing()


def build_channel():
    """Return the protocol of a new connection, whose version is not known."""
    return http._GenericHTTPChannelProtocol(CallerChannel())
