"""Answer as a caller received it."""

import json

__all__ = ["Reply"]

DONE_DATA = "[DONE]"


class Reply:
    """Complete or incomplete answer.

    Attributes
    ----------
    status : int or None
        None if no status line was received.
    headers : dict
    body : bytes
    failure : str or None
        Class name of the exception that ended the exchange.
    first_byte_at, ended_at : float or None
        Times of the first bytes of the body and of the end of the exchange,
        in seconds since the epoch.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "failure",
        "first_byte_at",
        "ended_at",
    )

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.failure = None
        self.first_byte_at = None
        self.ended_at = None

    @property
    def events(self):
        """Data of the complete events of a stream."""
        blocks = self.body.decode().split("\n\n")
        return [
            block[len("data: ") :]
            for block in blocks[:-1]
            if block.startswith("data: ")
        ]

    @property
    def is_streamed(self):
        """Whether the answer is an event stream."""
        content_type = self.headers.get("Content-Type", "")
        return content_type.startswith("text/event-stream")

    @property
    def is_complete(self):
        """Whether the answer is complete as far as a caller can detect."""
        if self.failure is not None or self.status != 200:
            return False
        return not self.is_streamed or self.events[-1:] == [DONE_DATA]

    @property
    def chunks(self):
        """Decoded events of a stream without the closing one."""
        return [json.loads(data) for data in self.events if data != DONE_DATA]

    @property
    def error(self):
        """Error object of the answer or of the last event, or None."""
        if self.is_streamed:
            documents = self.chunks[-1:]
        else:
            documents = [json.loads(self.body)] if self.body else []
        for document in documents:
            return document.get("error")
        return None

    @property
    def outcome(self):
        """Outcome that the error reports, or None."""
        return (self.error or {}).get("outcome")

    @property
    def text(self):
        """Text of the answer that was received."""
        if not self.is_streamed:
            choices = json.loads(self.body)["choices"]
            return "".join(read_text(choice, "message") for choice in choices)
        return "".join(
            read_text(choice, "delta")
            for chunk in self.chunks
            for choice in chunk.get("choices", ())
        )


def read_text(choice, member_name):
    """Return the text of a choice of a chat or text completion."""
    if member_name in choice:
        return choice[member_name].get("content") or ""
    return choice.get("text") or ""
