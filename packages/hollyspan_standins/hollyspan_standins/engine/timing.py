"""How long the steps of an engine take."""

__all__ = ["Timing"]

# Defaults: 10 ms between tokens with 8 streams running.
BASE_SECONDS = 0.006
PER_STREAM_SECONDS = 0.0005
PREFILL_SECONDS_PER_TOKEN = 0.0002
# Share by which one stream in prefill lengthens a step.
PREFILL_SLOWDOWN = 0.05
SLOW_TOKEN_SECONDS = 30.0


class Timing:
    """Durations, all divided by the speed factor."""

    __slots__ = ("base", "per_stream", "prefill_per_token", "speed")

    def __init__(
        self,
        *,
        base=BASE_SECONDS,
        per_stream=PER_STREAM_SECONDS,
        prefill_per_token=PREFILL_SECONDS_PER_TOKEN,
        speed=1.0,
    ):
        self.base = base
        self.per_stream = per_stream
        self.prefill_per_token = prefill_per_token
        self.speed = speed

    def measure_step(self, running, in_prefill):
        """Return the seconds of a step."""
        seconds = self.base + self.per_stream * running
        slowdown = 1.0 + PREFILL_SLOWDOWN * in_prefill
        return seconds * slowdown / self.speed

    def measure_prefill(self, tokens):
        """Return the seconds that uncached prompt tokens take."""
        return self.prefill_per_token * tokens / self.speed

    def measure_slow_token(self):
        """Return the seconds that one token of a slow prompt takes."""
        return SLOW_TOKEN_SECONDS / self.speed
