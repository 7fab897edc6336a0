"""One item of a chunk on its way to a result."""

import json

__all__ = ["Item", "parse_items"]


class Item:
    """An item of a batch.

    Parameters
    ----------
    index : int
        Within the chunk.
    number : int
        Within the job.
    custom_id, url : str
    body : dict

    Attributes
    ----------
    attempts : int
        Attempts that failed or may have.
    upstream : str or None
        Where its stream runs or was preempted.
    stream_id : str or None
        Identifier of the attempt, None between attempts.
    stream_number : int or None
        Of the attempt, as peers are told of it.
    events : list of bytes
        Received so far in this attempt.
    run_seconds : float
        Time that this attempt has run.
    pinned : bool
        Not preempted any more.
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
        """Model that the item asks for."""
        return self.body.get("model")

    def begin(self, *, stream_id, upstream):
        """Begin a new attempt."""
        self.stream_id = stream_id
        self.upstream = upstream
        self.events = []
        self.run_seconds = 0.0

    def reset(self):
        """Forget the attempt; return the count of events that are lost."""
        lost = len(self.events)
        self.stream_id = None
        self.upstream = None
        self.events = []
        return lost

    def append_event(self, offset, data):
        """Keep one event of the stream."""
        if offset == len(self.events) + 1:
            self.events.append(data)


def parse_items(content, *, first):
    """Parse the items of a chunk.

    Parameters
    ----------
    content : bytes
        JSON lines that were checked at the upload.
    first : int
        Number of the first item within the job.

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
