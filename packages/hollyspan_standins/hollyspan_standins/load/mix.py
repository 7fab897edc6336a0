"""Mixes of online requests, one for each user."""

__all__ = ["build_cooperative_mix", "build_trust_mix", "Mix"]


class Mix:
    """Parameters of arrivals and prompts.

    Parameters
    ----------
    model : str
    burst_factor : float
        Rate within a burst, as a multiple of the mean rate.
    burst_seconds, burst_every_seconds : float
        Length of a burst and mean time between bursts, in seconds.
    idle_seconds, idle_every_seconds : float
        The same for intervals without arrivals.
    prefixes : int
        Number of shared prefixes.
    prefix_characters, suffix_characters : tuple of int
        Minimum and maximum length, in characters.
    max_tokens : tuple of int
        Minimum and maximum number of generated tokens.
    """

    __slots__ = (
        "model",
        "burst_factor",
        "burst_seconds",
        "burst_every_seconds",
        "idle_seconds",
        "idle_every_seconds",
        "prefixes",
        "prefix_characters",
        "suffix_characters",
        "max_tokens",
    )

    def __init__(
        self,
        *,
        model,
        burst_factor=10.0,
        burst_seconds=1.0,
        burst_every_seconds=15.0,
        idle_seconds=3.0,
        idle_every_seconds=20.0,
        prefixes=8,
        prefix_characters=(256, 1024),
        suffix_characters=(32, 128),
        max_tokens=(16, 64),
    ):
        self.model = model
        self.burst_factor = burst_factor
        self.burst_seconds = burst_seconds
        self.burst_every_seconds = burst_every_seconds
        self.idle_seconds = idle_seconds
        self.idle_every_seconds = idle_every_seconds
        self.prefixes = prefixes
        self.prefix_characters = prefix_characters
        self.suffix_characters = suffix_characters
        self.max_tokens = max_tokens


def build_trust_mix():
    """Return the mix of the Trust: drift notes with long shared prefixes."""
    return Mix(model="pips-lm", prefixes=12, prefix_characters=(512, 2048))


def build_cooperative_mix():
    """Return the mix of the Cooperative: short questions, frequent bursts."""
    return Mix(
        model="merch-lm",
        burst_every_seconds=8.0,
        prefixes=24,
        prefix_characters=(128, 512),
        max_tokens=(8, 32),
    )
