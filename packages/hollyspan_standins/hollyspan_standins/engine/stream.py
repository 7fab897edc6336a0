"""One stream of tokens."""

from xxhash import xxh3_64_hexdigest

__all__ = ["Stream"]


class Stream:
    """A request and what has been generated for it.

    Notes
    -----
    Event ``n`` is token ``n`` up to the last token; the event after it
    carries the finish reason, and the usage, where wanted, is the last.
    """

    __slots__ = (
        "number",
        "key",
        "request_class",
        "model",
        "prompt",
        "digest",
        "is_chat",
        "include_usage",
        "tokens",
        "generated",
        "state",
        "created",
        "subscriber",
        "timer",
        "prefill_seconds",
        "received_at",
        "received_step",
        "is_broken_half_way",
        "is_slow",
        "next_token_at",
    )

    def __init__(
        self,
        *,
        number,
        key,
        request_class,
        model,
        prompt,
        tokens,
        is_chat,
        include_usage,
        created,
    ):
        self.number = number
        self.key = key
        self.request_class = request_class
        self.model = model
        self.prompt = prompt
        self.digest = xxh3_64_hexdigest(prompt.encode())
        self.tokens = tokens
        self.is_chat = is_chat
        self.include_usage = include_usage
        self.created = created
        self.generated = 0
        self.state = "waiting"
        self.subscriber = None
        self.timer = None
        self.prefill_seconds = 0.0
        self.received_at = 0.0
        self.received_step = 0
        self.next_token_at = 0.0
        self.is_broken_half_way = "[[break]]" in self.prompt
        self.is_slow = "[[slow]]" in self.prompt

    @property
    def is_generated(self):
        """Whether the last token has been generated."""
        return self.generated >= len(self.tokens)

    @property
    def events(self):
        """Number of events that can be sent so far."""
        if not self.is_generated:
            return self.generated
        return self.generated + 1 + self.include_usage

    @property
    def text_so_far(self):
        """The prompt and what has been generated, for the cache."""
        return self.prompt + "".join(self.tokens[: self.generated])
