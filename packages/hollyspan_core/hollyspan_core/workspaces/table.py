"""Workspaces of one configuration."""

__all__ = ["WorkspaceTable"]


class WorkspaceTable:
    """Workspaces by the digests of their keys.

    Parameters
    ----------
    by_digest : dict
        Workspace by the digest of each of its keys.
    workspaces : iterable of Workspace, optional
        All workspaces, also those without a key; by default those that have
        one.

    Attributes
    ----------
    by_name : dict
    """

    __slots__ = ("by_digest", "by_name")

    def __init__(self, *, by_digest, workspaces=None):
        self.by_digest = by_digest
        if workspaces is None:
            workspaces = by_digest.values()
        self.by_name = {each.name: each for each in workspaces}

    def find(self, digest):
        """Return the workspace that holds a key, or None.

        Parameters
        ----------
        digest : str
        """
        return self.by_digest.get(digest)
