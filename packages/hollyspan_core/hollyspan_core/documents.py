"""Reading of JSON documents and numbers of other programs."""

import json
import math

from .errors import DocumentInvalidError

__all__ = [
    "MAX_DIGITS",
    "encode_with_rows",
    "parse_document",
    "parse_integer",
    "parse_positive",
    "split_at_rows",
    "split_at_text",
]

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


def parse_positive(text):
    """Parse a positive number in a header; return None if it is invalid.

    Examples
    --------
    >>> parse_positive(b"2.5"), parse_positive(b"0"), parse_positive(b"x")
    (2.5, None, None)
    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 < number < math.inf else None


def split_at_text(document, name):
    """Encode a document around a text, which is its last field.

    Put together as bytes, a long text takes less memory than in a document.

    Parameters
    ----------
    document : dict
        The other fields.
    name : str

    Returns
    -------
    (bytes, bytes)
        What comes before and behind the text, which must be of ASCII
        characters that JSON does not escape.

    Examples
    --------
    >>> split_at_text({"a": 1}, "b")
    (b'{"a": 1, "b": "', b'"}')
    """
    end = b'"}'
    head = json.dumps({**document, name: ""}).encode()
    return head.removesuffix(end), end


def split_at_rows(document, name):
    """Encode a document around a list of rows, which is its last field.

    Parameters
    ----------
    document : dict
        The other fields.
    name : str

    Returns
    -------
    (bytes, bytes)
        What comes before and behind the rows, which are separated by commas.

    Examples
    --------
    >>> split_at_rows({"a": 1}, "b")
    (b'{"a": 1, "b": [', b']}')
    """
    end = b"]}"
    head = json.dumps({**document, name: []}).encode()
    return head.removesuffix(end), end


def encode_with_rows(document, name, rows):
    """Encode a document that gets a list of encoded rows as its last field.

    Parameters
    ----------
    document : dict
        The other fields.
    name : str
    rows : iterable of bytes

    Returns
    -------
    bytes

    Examples
    --------
    >>> encode_with_rows({"a": 1}, "b", [b"{}", b"2"])
    b'{"a": 1, "b": [{}, 2]}'
    """
    head, end = split_at_rows(document, name)
    return b"".join((head, b", ".join(rows), end))
