"""One exchange with a daemon, kept as it was seen."""

import hashlib
import http.client
import json
import time
import urllib.parse

from .reply import Reply

__all__ = ["exchange", "hash_key"]

EXCHANGE_SECONDS = 60.0
READ_BYTES = 65536
KEY_DIGITS = 32


def exchange(
    url,
    path,
    *,
    document=None,
    body=None,
    method=None,
    key="dev-key",
    headers=None,
    timeout=EXCHANGE_SECONDS,
    pause_seconds=0.0,
    on_data=None,
):
    """Send one request and return what came back, whole or not.

    Parameters
    ----------
    url, path : str
    document : object, optional
        Sent as JSON.
    body : bytes, optional
        Sent as it is, in place of a document.
    method : str, optional
        POST with a body, else GET.
    key : str, optional
        Of the caller.
    headers : dict, optional
    timeout : float, optional
        Seconds that the socket may be silent.
    pause_seconds : float, optional
        Time that a slow reader waits between reads.
    on_data : callable, optional
        Called with the bytes so far after each read.

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
        read_reply(connection, reply, pause_seconds, on_data)
    except (OSError, http.client.HTTPException) as error:
        reply.failure = type(error).__name__
    finally:
        connection.close()
        reply.ended = time.time()
    return reply


def read_reply(connection, reply, pause_seconds, on_data):
    answer = connection.getresponse()
    reply.status = answer.status
    reply.headers = dict(answer.headers)
    while True:
        data = answer.read1(READ_BYTES)
        if not data:
            return
        if reply.first is None:
            reply.first = time.time()
        reply.body += data
        if on_data is not None:
            on_data(reply.body)
        if pause_seconds:
            time.sleep(pause_seconds)


def hash_key(workspace, key):
    """Return the request key under which engines see a caller's key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"online/{workspace}/{digest[:KEY_DIGITS]}"
