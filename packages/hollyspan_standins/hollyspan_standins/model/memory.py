"""Memory of an engine for prompts and what it generates."""

from collections import OrderedDict

__all__ = ["TokenMemory"]


class TokenMemory:
    """Tokens in use and kept parts of prompts.

    Parameters
    ----------
    capacity : int
        Tokens.

    Attributes
    ----------
    used : int
        Tokens that running streams hold.
    kept : OrderedDict
        Tokens of each part that is kept, the least recently used first.
    """

    __slots__ = ("capacity", "used", "kept")

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.used = 0
        self.kept = OrderedDict()

    def count_unread(self, parts):
        """Return the tokens of a prompt that have to be read.

        Notes
        -----
        A part counts only when all parts before it are kept too.
        """
        is_kept = True
        unread = 0
        for name, tokens in parts:
            is_kept = is_kept and name in self.kept
            if is_kept:
                self.kept.move_to_end(name)
            else:
                unread += tokens
        return unread

    def keep(self, parts):
        """Keep the parts of a prompt that was read."""
        for name, tokens in parts:
            self.kept[name] = tokens
            self.kept.move_to_end(name)
        self.make_room()

    def make_room(self):
        """Give up kept parts until all fits; return False if it does not."""
        kept = sum(self.kept.values())
        while self.used + kept > self.capacity and self.kept:
            kept -= self.kept.popitem(last=False)[1]
        return self.used <= self.capacity
