"""A single attempt to send a request to an upstream."""

import eliot
import h11
from twisted.internet import defer

from hollyspan_core.errors import AnswerMisplacedError
from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import StreamStalledError

from .exchange import Exchange
from .identity import check_answer_identity
from .intake import count_pieces
from .kinds import PLAIN_ANSWER

__all__ = ["run_attempt"]

# Interval between checks whether to abandon a silent upstream.
STALL_RECHECK_INTERVAL_S = 0.05


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
    first_byte_timeout=None,
    pause_timeout=None,
    may_abandon=None,
    recheck_interval=STALL_RECHECK_INTERVAL_S,
    on_start=None,
    identifier=None,
    read_identifier=None,
    kind=PLAIN_ANSWER,
):
    """Send a request once and report its answer as it arrives.

    Parameters
    ----------
    pool : ConnectionPool
    address : (str, int)
    method, target : bytes
    headers : list of (bytes, bytes)
    body : bytes or PiecedBody
    on_reply : callable
        Called with status and headers; raises to abort the attempt.
    on_data : callable
        Called with bytes of the body; raises to abort the attempt. Returns
        how many bytes are kept, see `Exchange`.
    first_byte_timeout : float, optional
        Timeout for the first byte of the body.
    pause_timeout : float, optional
        Timeout between two chunks of bytes.
    may_abandon : callable, optional
        Called when a timeout expires; returns whether to abort the attempt.
        Without it, the attempt is aborted.
    recheck_interval : float, optional
        Time until it is called again, seconds.
    on_start : callable, optional
        Called, before the request is sent, with a function that aborts the
        attempt with a HollyspanError, and the keyword `opened_at`, the time
        at which its connection was opened.
    identifier : str, optional
        Identifier of the request.
    read_identifier : callable, optional
        Returns the identifier of a request in the headers of its answer, or
        None. Without it any answer is accepted.
    kind : AnswerKind, optional
        What is expected as an answer; an answer beyond its limits is
        malformed.

    Returns
    -------
    HollyspanError or None
        Reason why no complete answer arrived; None when it is complete.

    Raises
    ------
    InvalidRequestError
        HTTP does not allow a part of the request; nothing was sent.
    UpstreamUnavailableError
        Nothing was sent.

    Notes
    -----
    Cancelling the wait closes the connection, which ends the work at the
    upstream.
    """
    connection = await pool.acquire(address, identifier=identifier)
    done = defer.Deferred()
    stall = StallTimer(reactor=pool.reactor, seconds=first_byte_timeout)

    def end(error):
        stall.stop()
        if not done.called:
            done.callback(error)

    def abort(error):
        if not done.called:
            connection.cancel()
            end(error)

    def guard(function):
        def call(*arguments):
            try:
                return function(*arguments)
            except HollyspanError as error:
                abort(error)
                return None

        return call

    def handle_head(status, headers):
        if read_identifier is not None:
            try:
                check_answer_identity(
                    read_identifier(headers),
                    identifier,
                    is_first=connection.is_first_request,
                )
            except AnswerMisplacedError:
                if not connection.skip_answer():
                    raise
                eliot.log_message(
                    "answer:skipped",
                    request=identifier,
                    answers=read_identifier(headers),
                    status=status,
                )
                return
        on_reply(status, headers)

    def handle_data(data):
        stall.restart(pause_timeout)
        kept = on_data(data)
        # The events before a piece too many have been delivered.
        exchange.meter.count(len(data), pieces=count_pieces(data))
        return kept

    def handle_stall():
        if may_abandon is None or may_abandon():
            waited = stall.measure()
            abort(StreamStalledError(f"no data received for {waited:.3f} s"))
        else:
            stall.extend(recheck_interval)

    stall.on_end = handle_stall
    exchange = Exchange(
        method=method,
        target=target,
        headers=headers,
        body=body,
        on_head=guard(handle_head),
        on_data=guard(handle_data),
        on_end=lambda: end(None),
        on_failure=end,
        identifier=identifier,
        kind=kind,
    )
    if on_start is not None:
        on_start(abort, opened_at=connection.opened_at)
    try:
        connection.send(exchange)
    except h11.LocalProtocolError as error:
        stall.stop()
        connection.cancel()
        raise InvalidRequestError(
            f"the request cannot be sent: {error}"
        ) from error
    try:
        return await done
    except defer.CancelledError:
        stall.stop()
        connection.cancel()
        raise


class StallTimer:
    """Timeout for the arrival of bytes.

    Parameters
    ----------
    reactor : twisted reactor
    seconds : float or None
        Timeout; None for no limit.

    Attributes
    ----------
    on_end : callable
        Called without arguments when the timeout has expired.
    started_at : float
        Time of the last restart, reactor seconds.
    """

    __slots__ = ("reactor", "on_end", "started_at", "call")

    def __init__(self, *, reactor, seconds):
        self.reactor = reactor
        self.on_end = None
        self.call = None
        self.restart(seconds)

    def restart(self, seconds):
        """Restart the timer with a new timeout."""
        self.started_at = self.reactor.seconds()
        self.extend(seconds)

    def extend(self, seconds):
        """Wait on, with a new timeout."""
        self.stop()
        if seconds is not None:
            self.call = self.reactor.callLater(seconds, self.end)

    def measure(self):
        """Return the seconds since the last restart."""
        return self.reactor.seconds() - self.started_at

    def end(self):
        self.call = None
        self.on_end()

    def stop(self):
        """Stop the timer."""
        if self.call is not None:
            self.call.cancel()
            self.call = None
