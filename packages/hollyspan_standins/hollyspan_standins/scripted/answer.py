"""Bytes of one answer and what happens to the connection behind them."""

import enum

__all__ = ["Ending", "ScriptedAnswer"]


class Ending(enum.Enum):
    """What happens to a connection after the bytes of an answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


class ScriptedAnswer:
    """Bytes of one answer.

    Parameters
    ----------
    content : bytes
        Head and body as they are sent.
    ending : Ending, optional
    """

    __slots__ = ("content", "ending")

    def __init__(self, *, content, ending=Ending.KEEP):
        self.content = content
        self.ending = ending
