"""One request in an engine."""

__all__ = ["EngineStream"]


class EngineStream:
    """One run of a request at an engine.

    Parameters
    ----------
    parts : tuple of (str, int)
        Identifier and tokens of the parts of its prompt; the last one is its
        own.
    tokens : int
        Tokens to generate.
    done : int, optional
        Tokens that an earlier run has generated; they are read again.
    on_event : callable
        Called with the stream for each event.
    on_end : callable
        Called with the stream and the reason of its end: ``finished``,
        ``refused`` or ``lost``.

    Attributes
    ----------
    unread : int
        Tokens of the prompt that are still to be read.
    generated : int
        Tokens generated, those of earlier runs included.
    """

    __slots__ = (
        "parts",
        "tokens",
        "done",
        "on_event",
        "on_end",
        "unread",
        "generated",
    )

    def __init__(self, *, parts, tokens, on_event, on_end, done=0):
        self.parts = parts
        self.tokens = tokens
        self.done = done
        self.on_event = on_event
        self.on_end = on_end
        self.unread = 0
        self.generated = done

    @property
    def is_finished(self):
        """True when all its tokens are generated."""
        return self.generated >= self.tokens

    def count_own_tokens(self):
        """Return the tokens of its own part and of its output so far."""
        return self.parts[-1][1] + self.generated
