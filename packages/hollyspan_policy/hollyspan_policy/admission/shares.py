"""Weighted fair shares of workspaces under overload."""

import collections

from .fair import compute_share

__all__ = ["WorkspaceShares"]

UNRESTRICTED_FRACTION = 0.75
DEFAULT_WEIGHT = 1.0


class WorkspaceShares:
    """Work in flight by workspace, limited to fair shares under load.

    Parameters
    ----------
    capacity : float
        Work in flight that the data centre can serve within the usual
        deadline, in requests or in another unit.

    Notes
    -----
    Up to a fraction of the capacity, requests of all workspaces are
    admitted. Above it, a workspace is limited to its share: the capacity is
    divided by weight among the workspaces with requests in flight,
    including the requesting one. What a workspace does not use is divided
    among the others. This leaves capacity for a workspace whose first
    requests arrive while others use much of it.

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
            Work in flight, at least 1.
        """
        weights = {
            name: self.weights.get(name, DEFAULT_WEIGHT)
            for name in (*self.in_flight, workspace)
        }
        share = compute_share(
            self.in_flight, workspace, weights=weights, capacity=self.capacity
        )
        return max(1.0, share)

    def admit(self, workspace, *, work=1):
        """Admit one request if the workspace is allowed another one.

        Parameters
        ----------
        workspace : str
        work : float, optional

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
        self.in_flight[workspace] += work
        self.total += work
        return True

    def release(self, workspace, *, work=1):
        """Record that one request of a workspace has ended.

        Parameters
        ----------
        workspace : str
        work : float, optional
        """
        self.in_flight[workspace] -= work
        self.total -= work
        self.remove_if_idle(workspace)

    def remove_if_idle(self, workspace):
        """Remove a workspace without requests in flight."""
        if not self.in_flight[workspace]:
            del self.in_flight[workspace]
