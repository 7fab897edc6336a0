"""Rows of documents with long values in base64, encoded piece by piece."""

import base64

__all__ = ["generate_rows", "measure_base64", "measure_rows"]

ROW_SEPARATOR = b", "
# Bytes of a value that are encoded at once, a multiple of three.
VALUE_PIECE_BYTES = 48 * 1024


def generate_rows(start, rows, end):
    """Generate the pieces of a document with rows.

    Parameters
    ----------
    start, end : bytes
        What comes before and behind the rows.
    rows : list of (bytes, bytes, bytes)
        What comes before and behind the value of each, and the value.

    Yields
    ------
    bytes

    Examples
    --------
    >>> b"".join(generate_rows(b"[", [(b'"', b'"', b"a")] * 2, b"]"))
    b'["YQ==", "YQ=="]'
    """
    yield start
    for number, (row_start, row_end, value) in enumerate(rows):
        if number:
            yield ROW_SEPARATOR
        yield row_start
        for at in range(0, len(value), VALUE_PIECE_BYTES):
            yield base64.b64encode(value[at : at + VALUE_PIECE_BYTES])
        yield row_end
    yield end


def measure_rows(start, rows, end):
    """Return the bytes that `generate_rows` yields in all.

    Examples
    --------
    >>> measure_rows(b"[", [(b'"', b'"', b"a")] * 2, b"]")
    16
    """
    size = len(start) + len(end) + max(0, len(rows) - 1) * len(ROW_SEPARATOR)
    return size + sum(
        len(row_start) + len(row_end) + measure_base64(len(value))
        for row_start, row_end, value in rows
    )


def measure_base64(size):
    """Return the length of some bytes in base64.

    Examples
    --------
    >>> [measure_base64(size) for size in (0, 1, 3, 4)]
    [0, 4, 4, 8]
    """
    return -(-size // 3) * 4
