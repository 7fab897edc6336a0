"""State of a stream."""

from xxhash import xxh3_64_hexdigest

__all__ = ["Stream"]


class Stream:
    """A completion request and its generated tokens.

    Notes
    -----
    Event ``n``, counted from 1, is token ``n``. The event after the last token
    carries the finish reason; the usage follows as a further event if it was
    requested.
    """

    __slots__ = (
        "identifier",
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
        identifier,
        key,
        request_class,
        model,
        prompt,
        tokens,
        is_chat,
        include_usage,
        created,
    ):
        self.identifier = identifier
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
        """Prompt and generated tokens, as cached."""
        return self.prompt + "".join(self.tokens[: self.generated])
