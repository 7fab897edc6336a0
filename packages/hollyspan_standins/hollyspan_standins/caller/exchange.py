"""HTTP exchange with a daemon that records complete and partial answers."""

import hashlib
import http.client
import json
import time
import urllib.parse

from .reply import Reply

__all__ = ["exchange", "build_online_request_key"]

DEFAULT_TIMEOUT_S = 60.0
MAX_READ_BYTES = 65536
KEY_DIGEST_DIGITS = 32


def exchange(
    url,
    path,
    *,
    document=None,
    body=None,
    method=None,
    key="dev-key",
    headers=None,
    timeout=DEFAULT_TIMEOUT_S,
    read_pause_seconds=0.0,
    on_data=None,
):
    """Send one request and return its answer, which may be incomplete.

    Parameters
    ----------
    url, path : str
    document : object, optional
        Body to encode as JSON.
    body : bytes, optional
        Raw body instead of a document.
    method : str, optional
        HTTP method; by default POST with a body and GET without.
    key : str, optional
        Key of the caller.
    headers : dict, optional
    timeout : float, optional
        Socket timeout in seconds.
    read_pause_seconds : float, optional
        Pause between reads, to simulate a slow reader.
    on_data : callable, optional
        Called after each read with all bytes received so far.

    Returns
    -------
    Reply
    """
    if document is not None:
        body = json.dumps(document).encode()
    connection = http.client.HTTPConnection(
        urllib.parse.urlsplit(url).netloc, timeout=timeout
    )
    reply = Reply()
    try:
        connection.request(
            method or ("GET" if body is None else "POST"),
            path,
            body,
            {
                "authorization": f"Bearer {key}",
                "content-type": "application/json",
                **(headers or {}),
            },
        )
        read_reply(connection, reply, read_pause_seconds, on_data)
    except (OSError, http.client.HTTPException) as error:
        reply.failure = type(error).__name__
    finally:
        connection.close()
        reply.ended_at = time.time()
    return reply


def read_reply(connection, reply, read_pause_seconds, on_data):
    answer = connection.getresponse()
    reply.status = answer.status
    reply.headers = dict(answer.headers)
    while True:
        data = answer.read1(MAX_READ_BYTES)
        if not data:
            return
        if reply.first_byte_at is None:
            reply.first_byte_at = time.time()
        reply.body += data
        if on_data is not None:
            on_data(reply.body)
        if read_pause_seconds:
            time.sleep(read_pause_seconds)


def build_online_request_key(workspace, key):
    """Return the request key that engines receive for an idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"online/{workspace}/{digest[:KEY_DIGEST_DIGITS]}"
