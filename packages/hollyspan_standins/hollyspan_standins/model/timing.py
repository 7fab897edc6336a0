"""Timing of the steps of a simulated engine."""

__all__ = ["EngineTiming"]


class EngineTiming:
    """Parameters from which the length of a step is computed.

    Parameters
    ----------
    step, step_per_stream : float
        Seconds per step, and additional seconds per running stream.
    step_per_context_token : float
        Additional seconds per token in memory of the running streams.
    prefill_rate : float
        Prompt tokens prefilled per second.
    prefill_chunk : int
        Maximum number of tokens prefilled in one step.
    setup : float
        Seconds from the arrival of a request until it can be admitted.
    speed : float
        Divisor of the length of a step.

    Notes
    -----
    The defaults are those of a 70-billion-parameter model on eight
    accelerators, with times in the unit of the users' site files.
    """

    __slots__ = (
        "step",
        "step_per_stream",
        "step_per_context_token",
        "prefill_rate",
        "prefill_chunk",
        "setup",
        "speed",
    )

    def __init__(
        self,
        *,
        step=0.00255,
        step_per_stream=0.0000127,
        step_per_context_token=8.54e-9,
        prefill_rate=58_900.0,
        prefill_chunk=4096,
        setup=0.00062,
        speed=1.0,
    ):
        self.step = step
        self.step_per_stream = step_per_stream
        self.step_per_context_token = step_per_context_token
        self.prefill_rate = prefill_rate
        self.prefill_chunk = prefill_chunk
        self.setup = setup
        self.speed = speed

    def compute_step_seconds(self, *, running, context, prefilled):
        """Return the length of a step, in seconds.

        Parameters
        ----------
        running : int
            Number of running streams.
        context : int
            Tokens of these streams in memory.
        prefilled : int
            Prompt tokens prefilled in the step.
        """
        seconds = self.step + self.step_per_stream * running
        seconds += self.step_per_context_token * context
        return (seconds + prefilled / self.prefill_rate) / self.speed
