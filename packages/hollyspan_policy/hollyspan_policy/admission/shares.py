"""Weighted shares of the workspaces under overload."""

import collections

__all__ = ["WorkspaceShares"]

OPEN_FRACTION = 0.75
DEFAULT_WEIGHT = 1.0


class WorkspaceShares:
    """Requests in flight by workspace, held to fair shares when it is full.

    Parameters
    ----------
    capacity : int
        Requests in flight that the data centre serves within the usual
        deadline.

    Notes
    -----
    Up to a fraction of the capacity anyone may enter. Above it only a
    workspace below its share enters: its weight's part of the capacity
    among the workspaces that have requests in flight, itself included.
    Room is thus left for a workspace that comes when others hold much.

    Examples
    --------
    >>> shares = WorkspaceShares(capacity=4)
    >>> [shares.enter("dev") for _ in range(5)]
    [True, True, True, True, False]
    >>> shares.enter("trust")
    True
    """

    __slots__ = ("capacity", "running", "weights", "total")

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.running = collections.Counter()
        self.weights = {}
        self.total = 0

    def set_weight(self, workspace, weight):
        """Set the weight of a workspace.

        Parameters
        ----------
        workspace : str
        weight : float
            Above 0.
        """
        self.weights[workspace] = weight

    def compute_share(self, workspace):
        """Return the share of a workspace.

        Parameters
        ----------
        workspace : str

        Returns
        -------
        float
            Requests in flight; one at least.
        """
        active = {*self.running, workspace}
        weight = self.weights.get(workspace, DEFAULT_WEIGHT)
        total = sum(self.weights.get(name, DEFAULT_WEIGHT) for name in active)
        return max(1.0, self.capacity * weight / total)

    def enter(self, workspace):
        """Take in one request when the workspace may have it.

        Parameters
        ----------
        workspace : str

        Returns
        -------
        bool
            False when the workspace is at its share and there is little
            room.
        """
        is_open = self.total < self.capacity * OPEN_FRACTION
        share = self.compute_share(workspace)
        if not is_open and self.running[workspace] >= share:
            self.forget(workspace)
            return False
        self.running[workspace] += 1
        self.total += 1
        return True

    def leave(self, workspace):
        """Note that one request of a workspace has ended.

        Parameters
        ----------
        workspace : str
        """
        self.running[workspace] -= 1
        self.total -= 1
        self.forget(workspace)

    def forget(self, workspace):
        """Drop a workspace that has nothing in flight."""
        if not self.running[workspace]:
            del self.running[workspace]
