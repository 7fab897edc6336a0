"""A stream at a simulated engine."""

__all__ = ["EngineStream"]


class EngineStream:
    """One run of a request or item at an engine.

    Parameters
    ----------
    parts : tuple of (str, int)
        Name and number of tokens of each part of the prompt. The last part is
        specific to the request; the others may be cached.
    tokens : int
        Tokens to generate.
    resumed_tokens : int, optional
        Tokens that earlier runs have generated; they are prefilled.
    on_event : callable
        Called with the stream for each event.
    on_end : callable
        Called with the stream and the reason for its end: ``finished``,
        ``refused`` or ``lost``.

    Attributes
    ----------
    prefill_tokens : int
        Tokens that are still to be prefilled.
    generated : int
        Tokens generated, including those of earlier runs.
    """

    __slots__ = (
        "parts",
        "tokens",
        "resumed_tokens",
        "on_event",
        "on_end",
        "prefill_tokens",
        "generated",
    )

    def __init__(self, *, parts, tokens, on_event, on_end, resumed_tokens=0):
        self.parts = parts
        self.tokens = tokens
        self.resumed_tokens = resumed_tokens
        self.on_event = on_event
        self.on_end = on_end
        self.prefill_tokens = 0
        self.generated = resumed_tokens

    @property
    def is_finished(self):
        """Whether all tokens have been generated."""
        return self.generated >= self.tokens

    def count_own_tokens(self):
        """Return the tokens of the last prompt part and the output so far."""
        return self.parts[-1][1] + self.generated
