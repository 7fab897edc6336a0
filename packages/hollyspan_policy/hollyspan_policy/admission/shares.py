"""Weighted fair shares of workspaces under overload."""

import collections

__all__ = ["WorkspaceShares"]

UNRESTRICTED_FRACTION = 0.75
DEFAULT_WEIGHT = 1.0


class WorkspaceShares:
    """Requests in flight by workspace, limited to fair shares under load.

    Parameters
    ----------
    capacity : int
        Number of requests in flight that the data centre can serve within
        the usual deadline.

    Notes
    -----
    Up to a fraction of the capacity, requests of all workspaces are
    admitted. Above it, a workspace is limited to its share: the capacity is
    divided by weight among the workspaces with requests in flight,
    including the requesting one. This leaves capacity for a workspace whose
    first requests arrive while others use much of it.

    Examples
    --------
    >>> shares = WorkspaceShares(capacity=4)
    >>> [shares.admit("dev") for _ in range(5)]
    [True, True, True, True, False]
    >>> shares.admit("trust")
    True
    """

    __slots__ = ("capacity", "in_flight", "weights", "total")

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.in_flight = collections.Counter()
        self.weights = {}
        self.total = 0

    def set_weight(self, workspace, weight):
        """Set the weight of a workspace.

        Parameters
        ----------
        workspace : str
        weight : float
            Greater than 0.
        """
        self.weights[workspace] = weight

    def compute_share(self, workspace):
        """Compute the share of a workspace.

        Parameters
        ----------
        workspace : str

        Returns
        -------
        float
            Number of requests in flight, at least 1.
        """
        active = {*self.in_flight, workspace}
        weight = self.weights.get(workspace, DEFAULT_WEIGHT)
        total = sum(self.weights.get(name, DEFAULT_WEIGHT) for name in active)
        return max(1.0, self.capacity * weight / total)

    def admit(self, workspace):
        """Admit one request if the workspace is allowed another one.

        Parameters
        ----------
        workspace : str

        Returns
        -------
        bool
            False when the workspace has reached its share and little
            capacity is left.
        """
        is_unrestricted = self.total < self.capacity * UNRESTRICTED_FRACTION
        share = self.compute_share(workspace)
        if not is_unrestricted and self.in_flight[workspace] >= share:
            self.remove_if_idle(workspace)
            return False
        self.in_flight[workspace] += 1
        self.total += 1
        return True

    def release(self, workspace):
        """Record that one request of a workspace has ended.

        Parameters
        ----------
        workspace : str
        """
        self.in_flight[workspace] -= 1
        self.total -= 1
        self.remove_if_idle(workspace)

    def remove_if_idle(self, workspace):
        """Remove a workspace without requests in flight."""
        if not self.in_flight[workspace]:
            del self.in_flight[workspace]
