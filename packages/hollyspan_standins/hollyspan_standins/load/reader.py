"""Parsing of a streamed answer."""

import json

import treq

__all__ = ["read_events"]

DATA_PREFIX = b"data: "
DONE_DATA = b"[DONE]"
NO_FINAL_EVENT = "no last event"


class EventReader:
    """Parser that splits a streamed answer into its events.

    Parameters
    ----------
    on_token : callable
        Called with the text of each token when it is received.

    Attributes
    ----------
    failure : str or None
        Why the stream is incomplete; None if it is complete.
    """

    __slots__ = ("on_token", "buffer", "failure")

    def __init__(self, *, on_token):
        self.on_token = on_token
        self.buffer = b""
        self.failure = NO_FINAL_EVENT

    def feed(self, data):
        """Parse the next bytes of the answer."""
        lines = (self.buffer + data).split(b"\n")
        self.buffer = lines.pop()
        for line in lines:
            if line.startswith(DATA_PREFIX):
                self._handle_data(line[len(DATA_PREFIX) :].rstrip())

    def _handle_data(self, data):
        if data == DONE_DATA:
            self.failure = None
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.failure = str(chunk["error"])
            return
        text = read_text(chunk)
        if text:
            self.on_token(text)


async def read_events(response, on_token):
    """Read a streamed answer.

    Parameters
    ----------
    response : IResponse
    on_token : callable
        Called with the text of each token when it is received.

    Returns
    -------
    str or None
        Why the stream is incomplete; None if it is complete.
    """
    reader = EventReader(on_token=on_token)
    await treq.collect(response, reader.feed)
    return reader.failure


def read_text(chunk):
    """Return the text of a chunk; empty if it has none."""
    if not chunk.get("choices"):
        return ""
    choice = chunk["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""
