"""Printing of the result of a command."""

import json

__all__ = ["print_result"]


def print_result(result, *, as_json, describe):
    """Print a result as text or as JSON.

    Parameters
    ----------
    result : object
        Decoded JSON.
    as_json : bool
        Whether to print JSON instead of text.
    describe : callable
        Takes the result and returns it as text.
    """
    if as_json:
        print(json.dumps(result, indent=2))
    else:
        print(describe(result))
