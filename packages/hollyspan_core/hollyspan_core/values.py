"""Checks of values in documents that other programs have written."""

import ipaddress
import math
import re

from .errors import DocumentInvalidError

__all__ = [
    "UNREADABLE",
    "parse_address",
    "parse_header_fields",
    "parse_visible",
    "require_count",
    "require_name",
    "require_not_negative",
    "require_number",
    "require_positive",
    "require_text",
    "require_type",
    "split_address",
]

MAX_TEXT_LENGTH = 200
MAX_PORT = 65535
# A name goes into a header of each request.
NAME_PATTERN = re.compile(r"[!-~]+")
# Visible ASCII characters, names and values of header fields, as in RFC 9110.
VISIBLE_PATTERN = re.compile(r"[!-~]+")
FIELD_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE_PATTERN = re.compile(
    r"(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?"
)
# What reading a document of another program may raise.
UNREADABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)


def require_text(value):
    """Return a text, or raise an error if it cannot be encoded."""
    if len(require_type(value, str).encode()) > MAX_TEXT_LENGTH:
        raise DocumentInvalidError(f"a text of {len(value)} characters")
    return value


def require_name(value):
    """Return a name of visible ASCII characters, or raise an error."""
    if not NAME_PATTERN.fullmatch(require_text(value)):
        raise DocumentInvalidError(f"{value!r} is not a name")
    return value


def require_type(value, *expected):
    """Return a value, or raise TypeError if it has another type."""
    if type(value) not in expected:
        names = " or ".join(each.__name__ for each in expected)
        raise TypeError(f"a value of type {type(value).__name__}, not {names}")
    return value


def require_number(value):
    """Return a finite number, or raise an error if it is none."""
    if not math.isfinite(require_type(value, int, float)):
        raise DocumentInvalidError("a number that is not finite")
    return value


def require_positive(value):
    """Return a finite number above 0, or raise an error if it is none."""
    if require_number(value) <= 0:
        raise DocumentInvalidError("a number that is not above 0")
    return value


def require_not_negative(value):
    """Return a finite number from 0 on, 0 for None, or raise an error."""
    if value is None:
        return 0.0
    if require_number(value) < 0:
        raise DocumentInvalidError("a negative number")
    return float(value)


def require_count(value):
    """Return a non-negative integer, 0 for None, or raise an error."""
    if value is None:
        return 0
    if type(value) is not int or value < 0:
        raise DocumentInvalidError(f"{value!r} is not a count")
    return value


def split_address(text):
    """Split ``IP:PORT`` into address and port number."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse_address(text):
    """Return host and port of an address that can be connected to."""
    host, port = split_address(text)
    ipaddress.IPv4Address(host)
    if not 0 < port <= MAX_PORT:
        raise DocumentInvalidError(f"{port} is not a port")
    return host, port


def parse_visible(value):
    """Return a text of visible ASCII characters, or raise an error."""
    if not VISIBLE_PATTERN.fullmatch(value):
        raise DocumentInvalidError(
            f"{value[:32]!r} has other than visible characters"
        )
    return value


def parse_header_fields(fields):
    """Return header fields by name as a sorted list of names and values."""
    for name, value in fields.items():
        if not (
            FIELD_NAME_PATTERN.fullmatch(name)
            and FIELD_VALUE_PATTERN.fullmatch(value)
        ):
            raise DocumentInvalidError(
                f"{name[:32]!r} is not a valid header field"
            )
    return sorted(fields.items())
