"""An item of a chunk with the state of its current attempt."""

import json

__all__ = ["Item", "parse_items"]


class Item:
    """An item of a batch job.

    Parameters
    ----------
    index : int
        Index within the chunk.
    number : int
        Index within the job.
    custom_id, url : str
    body : dict

    Attributes
    ----------
    attempts : int
        Number of attempts that failed or may have failed.
    upstream : str or None
        Name of the upstream where its stream runs or was preempted.
    stream_id : str or None
        Identifier of the stream of the current attempt, None between
        attempts.
    stream_number : int or None
        Number of the stream, as broadcast to peers.
    events : list of bytes
        Events received in the current attempt.
    run_seconds : float
        Seconds that the current attempt has run, without the pauses.
    pinned : bool
        True when the item must not be preempted any more.
    """

    __slots__ = (
        "index",
        "number",
        "custom_id",
        "url",
        "body",
        "attempts",
        "upstream",
        "stream_id",
        "stream_number",
        "events",
        "run_seconds",
        "pinned",
    )

    def __init__(self, *, index, number, custom_id, url, body):
        self.index = index
        self.number = number
        self.custom_id = custom_id
        self.url = url
        self.body = body
        self.attempts = 0
        self.upstream = None
        self.stream_id = None
        self.stream_number = None
        self.events = []
        self.run_seconds = 0.0
        self.pinned = False

    @property
    def model(self):
        """Model that the item requests."""
        return self.body.get("model")

    def start_attempt(self, *, stream_id, upstream):
        """Start a new attempt."""
        self.stream_id = stream_id
        self.upstream = upstream
        self.events = []
        self.run_seconds = 0.0

    def discard_attempt(self):
        """Discard the current attempt; return the number of lost events."""
        lost = len(self.events)
        self.stream_id = None
        self.upstream = None
        self.events = []
        return lost

    def append_event(self, offset, data):
        """Append an event of the stream; ignore one that is out of order."""
        if offset == len(self.events) + 1:
            self.events.append(data)


def parse_items(content, *, first):
    """Parse the items of a chunk.

    Parameters
    ----------
    content : bytes
        JSON lines, validated when the file was uploaded.
    first : int
        Index of the first item within the job.

    Returns
    -------
    list of Item
    """
    lines = [line for line in content.split(b"\n") if line.strip()]
    items = []
    for index, line in enumerate(lines):
        document = json.loads(line)
        items.append(
            Item(
                index=index,
                number=first + index,
                custom_id=document["custom_id"],
                url=document["url"],
                body=document["body"],
            )
        )
    return items
