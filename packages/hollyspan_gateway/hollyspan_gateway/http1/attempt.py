"""One send of a request to an upstream."""

from twisted.internet import defer

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import StreamStalledError

from .exchange import Exchange

__all__ = ["run_attempt"]

# Seconds between two questions whether a silent upstream is left.
STALL_CHECK_S = 0.05


async def run_attempt(
    pool,
    *,
    address,
    method,
    target,
    headers,
    body,
    on_reply,
    on_data,
    first_seconds=None,
    pause_seconds=None,
    may_leave=None,
):
    """Send a request once and report its answer as it comes.

    Parameters
    ----------
    pool : ConnectionPool
    address : (str, int)
    method, target : bytes
    headers : list of (bytes, bytes)
    body : bytes
    on_reply : callable
        Called with status and headers; raises to give the answer up.
    on_data : callable
        Called with bytes of the body; raises to give the answer up.
    first_seconds : float, optional
        Longest wait for the first byte of the body.
    pause_seconds : float, optional
        Longest pause between two runs of bytes.
    may_leave : callable, optional
        Asked when a wait is over whether the upstream is worth leaving.

    Returns
    -------
    HollyspanError or None
        Why no complete answer came, None when it is complete.

    Raises
    ------
    UpstreamUnavailableError
        Nothing was sent.

    Notes
    -----
    When the wait is cancelled, the connection is closed, which ends the work
    at the upstream.
    """
    connection = await pool.acquire(address)
    done = defer.Deferred()
    stall = Stall(reactor=pool.reactor, seconds=first_seconds)

    def end(failure):
        stall.stop()
        if not done.called:
            done.callback(failure)

    def break_off(failure):
        connection.cancel()
        end(failure)

    def guard(function):
        def call(*arguments):
            try:
                function(*arguments)
            except HollyspanError as failure:
                break_off(failure)

        return call

    def take_data(data):
        stall.restart(pause_seconds)
        on_data(data)

    def end_wait(seconds):
        if may_leave is None or may_leave():
            break_off(StreamStalledError(f"no byte for {seconds:.3f} s"))
        else:
            stall.restart(STALL_CHECK_S)

    stall.on_end = end_wait
    exchange = Exchange(
        method=method,
        target=target,
        headers=headers,
        body=body,
        on_head=guard(on_reply),
        on_data=guard(take_data),
        on_end=lambda: end(None),
        on_failure=end,
    )
    connection.send(exchange)
    try:
        return await done
    except defer.CancelledError:
        stall.stop()
        connection.cancel()
        raise


class Stall:
    """Ends a wait for bytes that lasts too long.

    Parameters
    ----------
    reactor : twisted reactor
    seconds : float or None
        Longest wait; None for no limit.

    Attributes
    ----------
    on_end : callable
        Called with the seconds of the wait that was too long.
    """

    __slots__ = ("reactor", "on_end", "call")

    def __init__(self, *, reactor, seconds):
        self.reactor = reactor
        self.on_end = None
        self.call = None
        self.restart(seconds)

    def restart(self, seconds):
        """Begin a new wait."""
        self.stop()
        if seconds is not None:
            self.call = self.reactor.callLater(seconds, self.end, seconds)

    def end(self, seconds):
        self.call = None
        self.on_end(seconds)

    def stop(self):
        """End the wait."""
        if self.call is not None:
            self.call.cancel()
            self.call = None
