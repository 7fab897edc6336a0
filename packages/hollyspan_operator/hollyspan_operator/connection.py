"""Which daemon a command talks to."""

import os

__all__ = ["read_connection"]

DEFAULT_URL = "http://127.0.0.1:8080"


def read_connection(*, url, key):
    """Return URL and key, from options, environment or defaults.

    Parameters
    ----------
    url, key : str or None

    Returns
    -------
    dict
        Keyword arguments of `run_calls`.
    """
    return {
        "url": url or os.environ.get("HOLLYSPAN_URL", DEFAULT_URL),
        "key": key or os.environ.get("HOLLYSPAN_KEY", ""),
    }
