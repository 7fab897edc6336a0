"""Batch stream as input to preemption decisions."""

__all__ = ["StreamView"]


class StreamView:
    """One running batch stream.

    Parameters
    ----------
    stream : str
    due : float
        Due time of its job, seconds since the epoch.
    resumable : bool
        Whether the upstream can resume the stream at its offset.
    generated : int
        Number of delivered tokens.
    prompt : int, optional
        Number of tokens of the prompt.
    """

    __slots__ = ("stream", "due", "resumable", "generated", "prompt")

    def __init__(self, *, stream, due, resumable, generated, prompt=0):
        self.stream = stream
        self.due = due
        self.resumable = resumable
        self.generated = generated
        self.prompt = prompt
