"""Reading a stream of events as it comes."""

import json

import treq

__all__ = ["read_events"]

DATA = b"data: "
DONE = b"[DONE]"
NO_LAST_EVENT = "no last event"


class EventReader:
    """Splits an answer into its events.

    Parameters
    ----------
    on_token : callable
        Called with the text of each token as it comes.
    """

    __slots__ = ("on_token", "rest", "failure")

    def __init__(self, *, on_token):
        self.on_token = on_token
        self.rest = b""
        self.failure = NO_LAST_EVENT

    def feed(self, data):
        """Take the next bytes of the answer."""
        lines = (self.rest + data).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            if line.startswith(DATA):
                self._take(line[len(DATA) :].rstrip())

    def _take(self, data):
        if data == DONE:
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
        Called with the text of each token as it comes.

    Returns
    -------
    str or None
        Why the stream is not whole; None if it is.
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
