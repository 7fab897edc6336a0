"""Memory of an engine for prompts and generated tokens."""

from collections import OrderedDict

__all__ = ["TokenMemory"]


class TokenMemory:
    """Tokens in use by running streams and cached parts of prompts.

    Parameters
    ----------
    capacity : int
        Capacity, in tokens.

    Attributes
    ----------
    used : int
        Tokens that running streams hold.
    cached_parts : OrderedDict
        Tokens by the name of each cached part, the least recently used first.
    """

    __slots__ = ("capacity", "used", "cached_parts")

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.used = 0
        self.cached_parts = OrderedDict()

    def count_prefill_tokens(self, parts):
        """Return the number of tokens of a prompt that need prefill.

        Notes
        -----
        A cached part is used only if all parts before it are cached too.
        """
        is_cached = True
        prefill_tokens = 0
        for name, tokens in parts:
            is_cached = is_cached and name in self.cached_parts
            if is_cached:
                self.cached_parts.move_to_end(name)
            else:
                prefill_tokens += tokens
        return prefill_tokens

    def cache_parts(self, parts):
        """Cache the parts of a prefilled prompt."""
        for name, tokens in parts:
            self.cached_parts[name] = tokens
            self.cached_parts.move_to_end(name)
        self.evict_to_fit()

    def evict_to_fit(self):
        """Evict cached parts until the rest fits.

        Returns
        -------
        bool
            Whether the tokens in use fit into the capacity.
        """
        cached_tokens = sum(self.cached_parts.values())
        while self.used + cached_tokens > self.capacity and self.cached_parts:
            cached_tokens -= self.cached_parts.popitem(last=False)[1]
        return self.used <= self.capacity
