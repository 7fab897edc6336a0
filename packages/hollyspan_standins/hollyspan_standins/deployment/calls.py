"""Blocking HTTP calls for the launcher and for tests."""

import json
import urllib.error
import urllib.request

from .errors import CallError

__all__ = ["fetch_json", "is_answering", "post_json"]

CALL_TIMEOUT_S = 10.0


def fetch_json(url, *, timeout=CALL_TIMEOUT_S):
    """Send a GET request and return the decoded JSON answer."""
    return call(urllib.request.Request(url), timeout)


def post_json(url, document, *, timeout=CALL_TIMEOUT_S):
    """Send a JSON document by POST and return the decoded JSON answer."""
    body = json.dumps(document).encode()
    headers = {"content-type": "application/json"}
    return call(urllib.request.Request(url, body, headers), timeout)


def call(request, timeout):
    """Send a request and return the decoded JSON answer.

    Raises
    ------
    CallError
        If the request fails, the status is not a success, or the answer
        is not JSON.
    """
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.load(answer)
    except (OSError, ValueError) as error:
        raise CallError(url=request.full_url, reason=error) from error


def is_answering(url, *, timeout=1.0):
    """Return whether a GET request is answered with a success status."""
    try:
        with urllib.request.urlopen(url, timeout=timeout):
            return True
    except OSError:
        return False
