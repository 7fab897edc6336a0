"""Blocking HTTP calls of the launcher and of tests."""

import json
import urllib.error
import urllib.request

from .errors import CallError

__all__ = ["fetch_json", "is_answering", "post_json"]

CALL_SECONDS = 10.0


def fetch_json(url, *, timeout=CALL_SECONDS):
    """Return the JSON that a GET answers."""
    return call(urllib.request.Request(url), timeout)


def post_json(url, document, *, timeout=CALL_SECONDS):
    """Return the JSON that a POST answers."""
    body = json.dumps(document).encode()
    headers = {"content-type": "application/json"}
    return call(urllib.request.Request(url, body, headers), timeout)


def call(request, timeout):
    """Run a request.

    Raises
    ------
    CallError
        If there is no answer, or one that is not a success.
    """
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.load(answer)
    except (OSError, ValueError) as error:
        raise CallError(url=request.full_url, reason=error) from error


def is_answering(url, *, timeout=1.0):
    """Return whether a GET is answered with a success."""
    try:
        with urllib.request.urlopen(url, timeout=timeout):
            return True
    except OSError:
        return False
