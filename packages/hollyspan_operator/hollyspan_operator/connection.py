"""Selection of the daemon to which commands connect."""

import os

__all__ = ["read_connection"]

DEFAULT_URL = "http://127.0.0.1:8080"


def read_connection(*, url, key):
    """Return URL and key from the options, the environment or the defaults.

    Parameters
    ----------
    url, key : str or None
        Options of the command; None if not given.

    Returns
    -------
    dict
        Keyword arguments of `run_calls`.
    """
    return {
        "url": url or os.environ.get("HOLLYSPAN_URL", DEFAULT_URL),
        "key": key or os.environ.get("HOLLYSPAN_KEY", ""),
    }
