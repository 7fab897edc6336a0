"""Reading of JSON documents and numbers of other programs."""

import json

from .errors import DocumentInvalidError

__all__ = ["MAX_DIGITS", "parse_document", "parse_integer"]

# Digits of a number that is read; Python refuses to convert some thousands.
MAX_DIGITS = 15


def parse_document(content):
    """Parse a JSON document.

    Parameters
    ----------
    content : bytes or str

    Returns
    -------
    object

    Raises
    ------
    DocumentInvalidError
        Also for content that is nested so deeply that it cannot be read, and
        for integers of some thousand digits.

    Examples
    --------
    >>> parse_document(b'{"a": [1]}')
    {'a': [1]}
    """
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise DocumentInvalidError(
            f"the document cannot be read: {type(error).__name__}"
        ) from error


def parse_integer(text):
    """Parse a non-negative integer in a header.

    Parameters
    ----------
    text : bytes or str or None

    Returns
    -------
    int or None
        None if it is missing, no number, or has more than `MAX_DIGITS`.

    Examples
    --------
    >>> parse_integer(b" 12 "), parse_integer(b"-1"), parse_integer(None)
    (12, None, None)
    """
    digits = text.strip() if text else text
    if not digits or len(digits) > MAX_DIGITS or not digits.isdigit():
        return None
    return int(digits)
