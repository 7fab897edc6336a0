"""Check for wrong answers."""

from .violation import Violation

__all__ = ["find_wrong_answers"]


def find_wrong_answers(answers):
    """Find answers that differ from the text that the engine generates.

    Parameters
    ----------
    answers : iterable of tuple of str, str and str
        Key, text of the whole answer that the caller received, and expected
        text (see
        :func:`hollyspan_standins.engine.generate_expected_text`).

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
    """Return a description of the first difference between two texts."""
    for index, (actual, wanted) in enumerate(zip(text, expected)):
        if actual != wanted:
            return f"differs at character {index}"
    return f"{len(text)} characters in place of {len(expected)}"
