"""Plain rules for batch slots that the gate is compared with."""

__all__ = ["BATCH_POLICIES", "allow_as_online", "allow_fixed", "allow_none"]

BATCH_POLICIES = ("yielding", "none", "as_online", "fixed_cap")


def allow_none(*, slots, online):
    """Return no slot, so that no batch work runs.

    Parameters
    ----------
    slots, online : int

    Returns
    -------
    int
    """
    return 0


def allow_as_online(*, slots, online):
    """Return all slots, whatever online work there is.

    Parameters
    ----------
    slots, online : int

    Returns
    -------
    int
    """
    return slots


def allow_fixed(*, slots, online):
    """Return half of the slots, whatever online work there is.

    Parameters
    ----------
    slots, online : int

    Returns
    -------
    int
    """
    return slots // 2
