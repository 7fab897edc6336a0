"""Batch job of a load."""

__all__ = ["Job"]


class Job:
    """A batch job to submit.

    Parameters
    ----------
    number : int
        Index of the job, from 0.
    submit_at : float
        Time of submission, in seconds since the start of the run.
    due_seconds : float
        Seconds from submission to deadline.
    prompts : dict of str to str
        Prompt of each ``custom_id``.
    failing_items : frozenset of str
        The ``custom_id`` of each item that always fails.
    max_tokens : int
    """

    __slots__ = (
        "number",
        "submit_at",
        "due_seconds",
        "prompts",
        "failing_items",
        "max_tokens",
    )

    def __init__(
        self,
        *,
        number,
        submit_at,
        due_seconds,
        prompts,
        failing_items,
        max_tokens,
    ):
        self.number = number
        self.submit_at = submit_at
        self.due_seconds = due_seconds
        self.prompts = prompts
        self.failing_items = failing_items
        self.max_tokens = max_tokens
