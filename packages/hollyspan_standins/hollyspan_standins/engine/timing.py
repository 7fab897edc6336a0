"""Timing of the steps of an engine."""

__all__ = ["Timing"]

# Defaults: 10 ms between tokens with 8 streams running.
STEP_BASE_S = 0.006
STEP_PER_STREAM_S = 0.0005
PREFILL_PER_TOKEN_S = 0.0002
# Share by which each stream in prefill lengthens a step.
PREFILL_SLOWDOWN_SHARE = 0.05
SLOW_TOKEN_S = 30.0


class Timing:
    """Durations of steps and prefill, divided by a speed factor.

    Parameters
    ----------
    base, per_stream : float
        Seconds per step, and additional seconds per running stream.
    prefill_per_token : float
        Seconds per uncached prompt token.
    speed : float
        Speed factor.
    """

    __slots__ = ("base", "per_stream", "prefill_per_token", "speed")

    def __init__(
        self,
        *,
        base=STEP_BASE_S,
        per_stream=STEP_PER_STREAM_S,
        prefill_per_token=PREFILL_PER_TOKEN_S,
        speed=1.0,
    ):
        self.base = base
        self.per_stream = per_stream
        self.prefill_per_token = prefill_per_token
        self.speed = speed

    def compute_step_seconds(self, running, in_prefill):
        """Return the length of a step, in seconds."""
        seconds = self.base + self.per_stream * running
        slowdown = 1.0 + PREFILL_SLOWDOWN_SHARE * in_prefill
        return seconds * slowdown / self.speed

    def compute_prefill_seconds(self, tokens):
        """Return the prefill time of uncached prompt tokens, in seconds."""
        return self.prefill_per_token * tokens / self.speed

    def compute_slow_token_seconds(self):
        """Return the time per token of a slow prompt, in seconds."""
        return SLOW_TOKEN_S / self.speed
