"""Client that opens many streams at once and times their tokens."""

import json
import random
import selectors
import socket
import time
import urllib.parse

__all__ = ["StreamMeasure", "run_streams"]

TIMEOUT_SECONDS = 120.0
WORDS = ("pip", "station", "drift", "ferry", "tide", "signal", "minute")
PROMPT_WORDS = 30
RECEIVE_BYTES = 65536


class StreamMeasure:
    """What was measured of one stream.

    Parameters
    ----------
    first_token : float
        Seconds from the request to the first event.
    events : int
    whole : bool
    """

    __slots__ = ("first_token", "events", "whole")

    def __init__(self, *, first_token, events, whole):
        self.first_token = first_token
        self.events = events
        self.whole = whole


class Connection:
    """One connection with its request and what came back."""

    __slots__ = ("socket", "sent", "first", "events", "tail")

    def __init__(self, *, socket):
        self.socket = socket
        self.sent = None
        self.first = None
        self.events = 0
        self.tail = b""

    def receive(self):
        """Take in what has come; return whether the stream goes on."""
        data = self.socket.recv(RECEIVE_BYTES)
        count = (self.tail[-5:] + data).count(b"data: ")
        if count and self.first is None:
            self.first = time.monotonic()
        self.events += count
        self.tail = (self.tail + data)[-40:]
        return bool(data) and b"[DONE]" not in self.tail


def run_streams(*, url, key, model, streams, tokens, seed, spread):
    """Start streams at a steady rate and read them to their ends.

    Parameters
    ----------
    url, key, model : str
    streams, tokens, seed : int
    spread : float
        Seconds over which the starts are spread; 0 for all at once.

    Returns
    -------
    list of StreamMeasure
    """
    target = urllib.parse.urlsplit(url)
    address = (target.hostname, target.port)
    generator = random.Random(seed)
    connections = []
    with selectors.DefaultSelector() as selector:
        for _ in range(streams):
            connection = Connection(socket=socket.create_connection(address))
            connections.append(connection)
            selector.register(
                connection.socket, selectors.EVENT_READ, connection
            )
        begin = time.monotonic()
        for number, connection in enumerate(connections):
            read_until(selector, begin + number * spread / streams)
            request = build_request(key, model, tokens, generator)
            connection.sent = time.monotonic()
            connection.socket.sendall(request)
        read_until(selector, time.monotonic() + TIMEOUT_SECONDS)
    return [measure(connection) for connection in connections]


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


def read_until(selector, limit):
    """Read the connections until a time, or until all have ended."""
    while selector.get_map():
        left = limit - time.monotonic()
        if left <= 0:
            return
        for key, _ in selector.select(timeout=left):
            if not key.data.receive():
                selector.unregister(key.fileobj)


def measure(connection):
    connection.socket.close()
    first = connection.first or float("inf")
    return StreamMeasure(
        first_token=first - connection.sent,
        events=connection.events,
        whole=b"[DONE]" in connection.tail,
    )
