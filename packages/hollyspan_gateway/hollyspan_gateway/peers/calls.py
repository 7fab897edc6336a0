"""HTTP calls from one gateway to another."""

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import HollyspanError
from hollyspan_core.errors import PeerUnavailableError

from ..http1 import JOB_READ
from ..http1 import run_attempt

__all__ = ["JOB_READS_PATH", "call_peer", "fetch_answer"]

# Path prefix for reads of jobs' results and item bodies at another gateway.
JOB_READS_PATH = b"/jobs/"


async def call_peer(pool, peer, *, port, target, timeout_seconds, kind):
    """Send a GET request to a peer.

    Parameters
    ----------
    pool : ConnectionPool
    peer : Peer
    port : int
        Port on which gateways serve each other.
    target : bytes
        Path and query.
    timeout_seconds : float
        Longest wait for the whole reply.
    kind : AnswerKind
        What is expected as the reply.

    Returns
    -------
    (list, bytes) or None
        Headers and body; None unless the peer replies with success in time.
    """
    host = peer.address[0]
    reply_headers = []
    body_parts = []

    def handle_reply(status, headers):
        if status != http.OK:
            raise PeerUnavailableError(f"the peer answered {status}")
        reply_headers.extend(headers)

    attempt = defer.ensureDeferred(
        run_attempt(
            pool,
            address=(host, port),
            method=b"GET",
            target=target,
            headers=[(b"Host", host.encode())],
            body=b"",
            on_reply=handle_reply,
            on_data=body_parts.append,
            kind=kind,
        )
    )
    attempt.addTimeout(timeout_seconds, pool.reactor)
    try:
        error = await attempt
        if error is not None:
            raise error
    except (HollyspanError, defer.TimeoutError) as error:
        eliot.log_message(
            "peer:no_answer",
            peer=peer.identifier,
            target=target.decode("latin-1"),
            reason=str(error),
        )
        return None
    return reply_headers, b"".join(body_parts)


async def fetch_answer(pool, peer, *, port, target, timeout_seconds):
    """Fetch the answer to a client's read of a job from a peer.

    Parameters
    ----------
    pool : ConnectionPool
    peer : Peer
    port : int
        Port on which gateways serve each other.
    target : str
        Identifier of the job and the query.
    timeout_seconds : float
        Longest wait for the whole reply.

    Returns
    -------
    (list, bytes) or None
        Headers and body for the client; None unless the peer replies with
        success in time.
    """
    answer = await call_peer(
        pool,
        peer,
        port=port,
        target=JOB_READS_PATH + target.encode("latin-1"),
        timeout_seconds=timeout_seconds,
        kind=JOB_READ,
    )
    if answer is None:
        return None
    headers, body = answer
    content_headers = [
        each for each in headers if each[0].lower() == b"content-type"
    ]
    return content_headers, body
