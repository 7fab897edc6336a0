"""Scope of a configuration lookup."""

__all__ = ["Scope"]


class Scope:
    """Names that the scopes of exceptions are compared with.

    Parameters
    ----------
    service, workspace, data_centre, upstream : str, optional
        The names that apply where the value is used; None for the others.
    """

    __slots__ = ("service", "workspace", "data_centre", "upstream")

    def __init__(
        self,
        *,
        service=None,
        workspace=None,
        data_centre=None,
        upstream=None,
    ):
        self.service = service
        self.workspace = workspace
        self.data_centre = data_centre
        self.upstream = upstream
