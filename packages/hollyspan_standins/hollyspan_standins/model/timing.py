"""How long an engine takes for a step."""

__all__ = ["EngineTiming"]


class EngineTiming:
    """Times of an engine, in seconds.

    Parameters
    ----------
    step, step_for_slot : float
        Seconds of a step, and for each stream that runs.
    step_for_context : float
        Seconds of a step for each token in memory of the running streams.
    read_rate : float
        Tokens of prompts read in a second.
    chunk : int
        Most tokens read in one step.
    setup : float
        Seconds from the arrival of a request to its place in the queue.
    speed : float
        Divides all of these.

    Notes
    -----
    The defaults are those of a 70-billion-parameter model on eight
    accelerators, in the unit of the users' site files.
    """

    __slots__ = (
        "step",
        "step_for_slot",
        "step_for_context",
        "read_rate",
        "chunk",
        "setup",
        "speed",
    )

    def __init__(
        self,
        *,
        step=0.00255,
        step_for_slot=0.0000127,
        step_for_context=8.54e-9,
        read_rate=58_900.0,
        chunk=4096,
        setup=0.00062,
        speed=1.0,
    ):
        self.step = step
        self.step_for_slot = step_for_slot
        self.step_for_context = step_for_context
        self.read_rate = read_rate
        self.chunk = chunk
        self.setup = setup
        self.speed = speed

    def measure_step(self, *, running, context, read):
        """Return the seconds of a step.

        Parameters
        ----------
        running : int
            Streams.
        context : int
            Tokens that they have in memory.
        read : int
            Tokens of prompts read in the step.
        """
        seconds = self.step + self.step_for_slot * running
        seconds += self.step_for_context * context
        return (seconds + read / self.read_rate) / self.speed
