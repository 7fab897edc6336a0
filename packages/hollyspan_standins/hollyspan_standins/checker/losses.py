"""Check for results that disappeared or changed."""

from .violation import Violation

__all__ = ["find_lost_results"]


def find_lost_results(before, after):
    """Find results that are missing or different in a later reading.

    Parameters
    ----------
    before, after : iterable of dict
        Lines of output and error files, as read at two times.

    Returns
    -------
    list of Violation
    """
    later = {line["custom_id"]: line for line in after}
    violations = []
    for line in before:
        item = line["custom_id"]
        if item not in later:
            detail = "no longer readable"
        elif later[item] != line:
            detail = "changed"
        else:
            continue
        violations.append(
            Violation(rule="lost_result", subject=item, detail=detail)
        )
    return violations
