"""Client that opens many concurrent streams and measures their times."""

import collections
import json
import random
import selectors
import socket
import time
import urllib.parse

__all__ = ["StreamMeasure", "run_streams"]

TIMEOUT_S = 120.0
WORDS = ("pip", "station", "drift", "ferry", "tide", "signal", "minute")
PROMPT_WORDS = 30
MAX_RECEIVE_BYTES = 65536


class StreamMeasure:
    """Measurements of one stream.

    Parameters
    ----------
    first_token : float
        Seconds from the request to the first event.
    events : int
    is_complete : bool
        Whether the closing event was received.
    """

    __slots__ = ("first_token", "events", "is_complete")

    def __init__(self, *, first_token, events, is_complete):
        self.first_token = first_token
        self.events = events
        self.is_complete = is_complete


class Connection:
    """Connection with its request and the progress of the answer.

    Parameters
    ----------
    socket : socket.socket
        Connected socket.
    request : bytes
    """

    __slots__ = (
        "socket",
        "request",
        "sent_at",
        "first_event_at",
        "events",
        "tail",
    )

    def __init__(self, *, socket, request):
        self.socket = socket
        self.request = request
        self.sent_at = None
        self.first_event_at = None
        self.events = 0
        self.tail = b""

    def send(self):
        """Send the request."""
        self.sent_at = time.monotonic()
        self.socket.sendall(self.request)

    def receive(self):
        """Read available data; return whether the stream continues."""
        data = self.socket.recv(MAX_RECEIVE_BYTES)
        count = (self.tail[-5:] + data).count(b"data: ")
        if count and self.first_event_at is None:
            self.first_event_at = time.monotonic()
        self.events += count
        self.tail = (self.tail + data)[-40:]
        return bool(data) and b"[DONE]" not in self.tail


def run_streams(*, url, key, model, streams, tokens, seed, interval=0.0):
    """Open streams and read them to the end.

    Parameters
    ----------
    url, key, model : str
    streams, tokens, seed : int
    interval : float, optional
        Seconds between the starts of streams; 0 starts all at once.

    Returns
    -------
    list of StreamMeasure
    """
    target = urllib.parse.urlsplit(url)
    address = (target.hostname, target.port)
    generator = random.Random(seed)
    connections = [
        Connection(
            socket=socket.create_connection(address),
            request=build_request(key, model, tokens, generator),
        )
        for _ in range(streams)
    ]
    with selectors.DefaultSelector() as selector:
        for connection in connections:
            selector.register(
                connection.socket, selectors.EVENT_READ, connection
            )
        run_all(selector, connections, interval)
    return [measure(connection) for connection in connections]


def run_all(selector, connections, interval):
    """Send the requests on schedule and read until all streams have ended."""
    started = time.monotonic()
    waiting = collections.deque(enumerate(connections))
    while waiting or selector.get_map():
        now = time.monotonic() - started
        if now > TIMEOUT_S:
            return
        while waiting and waiting[0][0] * interval <= now:
            waiting.popleft()[1].send()
        select_timeout = 1.0
        if waiting:
            select_timeout = max(0.0, waiting[0][0] * interval - now)
        for key, _ in selector.select(timeout=select_timeout):
            if not key.data.receive():
                selector.unregister(key.fileobj)


def build_request(key, model, tokens, generator):
    prompt = " ".join(generator.choices(WORDS, k=PROMPT_WORDS))
    body = json.dumps(
        {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": True,
        }
    )
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: hollyspan\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def measure(connection):
    connection.socket.close()
    first_event_at = connection.first_event_at or float("inf")
    return StreamMeasure(
        first_token=first_event_at - connection.sent_at,
        events=connection.events,
        is_complete=b"[DONE]" in connection.tail,
    )
