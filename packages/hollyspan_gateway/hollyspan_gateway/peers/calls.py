"""Calls from one gateway to another."""

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import PeerUnavailableError

from ..http1 import run_attempt

__all__ = ["READS_PATH", "call_peer", "fetch_answer"]

# Where gateways ask each other for results and bodies of jobs.
READS_PATH = b"/jobs/"


async def call_peer(pool, peer, *, port, target, seconds):
    """Ask a peer for something.

    Parameters
    ----------
    pool : ConnectionPool
    peer : Peer
    port : int
        Where gateways answer each other.
    target : bytes
    seconds : float
        Time for the answer.

    Returns
    -------
    (list, bytes) or None
        Headers and body; None when the peer does not answer with success.
    """
    host = peer.address[0]
    found = []
    parts = []

    def take_reply(status, headers):
        if status != http.OK:
            raise PeerUnavailableError(f"the peer answered {status}")
        found.extend(headers)

    work = defer.ensureDeferred(
        run_attempt(
            pool,
            address=(host, port),
            method=b"GET",
            target=target,
            headers=[(b"Host", host.encode())],
            body=b"",
            on_reply=take_reply,
            on_data=parts.append,
        )
    )
    work.addTimeout(seconds, pool.reactor)
    try:
        failure = await work
        if failure is not None:
            raise failure
    except (HollyspanError, defer.TimeoutError) as failure:
        eliot.log_message(
            "peer:no_answer",
            peer=peer.identifier,
            target=target.decode("latin-1"),
            reason=str(failure),
        )
        return None
    return found, b"".join(parts)


async def fetch_answer(pool, peer, *, port, target, seconds):
    """Ask a peer for the answer to a client's read of a job.

    Parameters
    ----------
    pool : ConnectionPool
    peer : Peer
    port : int
    target : str
        Identifier of the job and the query.
    seconds : float
        Time for the answer.

    Returns
    -------
    (list, bytes) or None
        Headers and body for the client; None without an answer.
    """
    answer = await call_peer(
        pool,
        peer,
        port=port,
        target=READS_PATH + target.encode("latin-1"),
        seconds=seconds,
    )
    if answer is None:
        return None
    headers, body = answer
    kept = [each for each in headers if each[0].lower() == b"content-type"]
    return kept, body
