"""Check for items with more than one result."""

from collections import Counter

from .violation import Violation

__all__ = ["find_duplicate_results"]


def find_duplicate_results(results):
    """Find items with more than one result line.

    Parameters
    ----------
    results : iterable of dict
        Lines of both the output and the error file of a job.

    Returns
    -------
    list of Violation
    """
    counts = Counter(line["custom_id"] for line in results)
    return [
        Violation(rule="duplicate", subject=item, detail=f"{count} results")
        for item, count in sorted(counts.items())
        if count > 1
    ]
