"""A batch stream as seen when streams are preempted."""

__all__ = ["StreamView"]


class StreamView:
    """One running batch stream.

    Parameters
    ----------
    stream : str
    due : float
        Due time of its job, seconds since the epoch.
    resumable : bool
        Whether the upstream can resume it at its offset.
    generated : int
        Tokens that were delivered.
    prompt : int, optional
        Tokens of the prompt.
    """

    __slots__ = ("stream", "due", "resumable", "generated", "prompt")

    def __init__(self, *, stream, due, resumable, generated, prompt=0):
        self.stream = stream
        self.due = due
        self.resumable = resumable
        self.generated = generated
        self.prompt = prompt
