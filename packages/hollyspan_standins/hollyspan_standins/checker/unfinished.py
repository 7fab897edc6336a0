"""Check for accepted items without a result."""

from .violation import Violation

__all__ = ["find_unfinished_items"]


def find_unfinished_items(accepted, results):
    """Find accepted items without a result, and results without an item.

    Parameters
    ----------
    accepted : iterable of str
        The ``custom_id`` of each item of an acknowledged job.
    results : iterable of dict
        Lines of both the output and the error file of the job.

    Returns
    -------
    list of Violation

    Examples
    --------
    >>> find_unfinished_items(["a"], [{"custom_id": "a"}])
    []
    """
    accepted = set(accepted)
    found = {line["custom_id"] for line in results}
    missing = [
        Violation(rule="unfinished", subject=item, detail="no result")
        for item in sorted(accepted - found)
    ]
    unexpected = [
        Violation(rule="unfinished", subject=item, detail="never accepted")
        for item in sorted(found - accepted)
    ]
    return missing + unexpected
