"""Answers that are not the engine's."""

from .violation import Violation

__all__ = ["find_wrong_answers"]


def find_wrong_answers(answers):
    """Find answers that differ from what the engine generates.

    Parameters
    ----------
    answers : iterable of tuple of str, str and str
        Key, the text that the caller got as a whole answer, and the text
        expected (see :func:`hollyspan_standins.engine.expected_text`).

    Returns
    -------
    list of Violation
    """
    return [
        Violation(
            rule="wrong_answer",
            subject=key,
            detail=describe_difference(text, expected),
        )
        for key, text, expected in answers
        if text != expected
    ]


def describe_difference(text, expected):
    """Return where two texts part, in words."""
    for index, (actual, wanted) in enumerate(zip(text, expected)):
        if actual != wanted:
            return f"differs at character {index}"
    return f"{len(text)} characters in place of {len(expected)}"
