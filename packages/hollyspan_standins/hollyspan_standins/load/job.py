"""One batch job of a load."""

__all__ = ["Job"]


class Job:
    """A job to submit.

    Parameters
    ----------
    number : int
    submit_at : float
        Seconds since the start of the run.
    due_seconds : float
        Seconds from its submission to its deadline.
    prompts : dict of str to str
        Prompt of each ``custom_id``.
    impossible : frozenset of str
        Items that can never be done.
    max_tokens : int
    """

    __slots__ = (
        "number",
        "submit_at",
        "due_seconds",
        "prompts",
        "impossible",
        "max_tokens",
    )

    def __init__(
        self,
        *,
        number,
        submit_at,
        due_seconds,
        prompts,
        impossible,
        max_tokens,
    ):
        self.number = number
        self.submit_at = submit_at
        self.due_seconds = due_seconds
        self.prompts = prompts
        self.impossible = impossible
        self.max_tokens = max_tokens
