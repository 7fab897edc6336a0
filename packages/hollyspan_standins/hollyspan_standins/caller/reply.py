"""What a caller saw of an answer."""

import json

__all__ = ["Reply"]

DONE = "[DONE]"


class Reply:
    """An answer, whole or not.

    Attributes
    ----------
    status : int or None
        None when no answer began.
    headers : dict
    body : bytes
    failure : str or None
        Name of the failure that cut the answer off.
    first, ended : float or None
        Seconds since the epoch of the first bytes and of the end.
    """

    __slots__ = ("status", "headers", "body", "failure", "first", "ended")

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.failure = None
        self.first = None
        self.ended = None

    @property
    def events(self):
        """Data of the events of a stream."""
        blocks = self.body.decode().split("\n\n")
        return [
            block[len("data: ") :]
            for block in blocks[:-1]
            if block.startswith("data: ")
        ]

    @property
    def is_streamed(self):
        """Whether the answer is a stream of events."""
        kind = self.headers.get("Content-Type", "")
        return kind.startswith("text/event-stream")

    @property
    def is_whole(self):
        """Whether the caller may take the answer for whole."""
        if self.failure is not None or self.status != 200:
            return False
        return not self.is_streamed or self.events[-1:] == [DONE]

    @property
    def chunks(self):
        """Decoded events of a stream without the last one."""
        return [json.loads(data) for data in self.events if data != DONE]

    @property
    def error(self):
        """Error object, of the answer or of the last event; or None."""
        if self.is_streamed:
            documents = self.chunks[-1:]
        else:
            documents = [json.loads(self.body)] if self.body else []
        for document in documents:
            return document.get("error")
        return None

    @property
    def outcome(self):
        """Outcome that the error tells, or None."""
        return (self.error or {}).get("outcome")

    @property
    def text(self):
        """Text of the answer, as far as it came."""
        if not self.is_streamed:
            choices = json.loads(self.body)["choices"]
            return "".join(read_text(choice, "message") for choice in choices)
        return "".join(
            read_text(choice, "delta")
            for chunk in self.chunks
            for choice in chunk.get("choices", ())
        )


def read_text(choice, member):
    """Return the text of a choice of a chat or a completion."""
    if member in choice:
        return choice[member].get("content") or ""
    return choice.get("text") or ""
