"""One send of a request to an upstream."""

from twisted.internet import defer

from hollyspan_core.errors import HollyspanError

from ..http1 import Exchange

__all__ = ["run_attempt"]


async def run_attempt(
    pool, *, address, method, target, headers, body, on_reply, on_data
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

    def guard(function):
        def call(*arguments):
            try:
                function(*arguments)
            except HollyspanError as failure:
                connection.cancel()
                done.callback(failure)

        return call

    exchange = Exchange(
        method=method,
        target=target,
        headers=headers,
        body=body,
        on_head=guard(on_reply),
        on_data=guard(on_data),
        on_end=lambda: done.callback(None),
        on_failure=done.callback,
    )
    connection.send(exchange)
    try:
        return await done
    except defer.CancelledError:
        connection.cancel()
        raise

