"""Baseline limits on batch streams for comparison with the gate."""

__all__ = ["BATCH_POLICIES", "allow_as_online", "allow_fixed", "allow_none"]

BATCH_POLICIES = ("yielding", "none", "as_online", "fixed_cap")


def allow_none(*, slots, online):
    """Allow no batch streams.

    Parameters
    ----------
    slots, online : int

    Returns
    -------
    int
    """
    return 0


def allow_as_online(*, slots, online):
    """Allow batch streams in all slots, regardless of online load.

    Parameters
    ----------
    slots, online : int

    Returns
    -------
    int
    """
    return slots


def allow_fixed(*, slots, online):
    """Allow batch streams in half of the slots, regardless of online load.

    Parameters
    ----------
    slots, online : int

    Returns
    -------
    int
    """
    return slots // 2
