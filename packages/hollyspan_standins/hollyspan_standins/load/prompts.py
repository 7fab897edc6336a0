"""Random prompts with shared prefixes."""

from ..engine.tokens import WORDS

__all__ = ["PromptSource"]


class PromptSource:
    """Source of random prompts; a few prefixes are used much more often.

    Parameters
    ----------
    random : random.Random
    mix : Mix
    """

    def __init__(self, *, random, mix):
        self.random = random
        self.mix = mix
        self.prefixes = [
            self._draw_text(mix.prefix_characters) for _ in range(mix.prefixes)
        ]
        self.weights = [1.0 / (rank + 1) for rank in range(mix.prefixes)]

    def draw(self):
        """Return the body of a random chat request."""
        prefix = self.random.choices(self.prefixes, self.weights)[0]
        suffix = self._draw_text(self.mix.suffix_characters)
        messages = [
            {"role": "system", "content": prefix},
            {"role": "user", "content": suffix},
        ]
        return {
            "model": self.mix.model,
            "messages": messages,
            "max_tokens": self.random.randint(*self.mix.max_tokens),
            "stream": True,
        }

    def _draw_text(self, bounds):
        length = self.random.randint(*bounds)
        words = []
        while sum(map(len, words)) + len(words) < length:
            words.append(self.random.choice(WORDS))
        return " ".join(words)[:length]
