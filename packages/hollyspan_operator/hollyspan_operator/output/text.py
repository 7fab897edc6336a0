"""Printing of a command's result."""

import json

__all__ = ["print_result"]


def print_result(result, *, as_json, describe):
    """Print a result for a person or for a program.

    Parameters
    ----------
    result : object
        Decoded JSON.
    as_json : bool
    describe : callable
        Returns the text for a person.
    """
    if as_json:
        print(json.dumps(result, indent=2))
    else:
        print(describe(result))
