"""What a value of the configuration is asked for."""

__all__ = ["Scope"]


class Scope:
    """Names that select exceptions.

    Parameters
    ----------
    service, workspace, data_centre, upstream : str, optional
        Each name that is known where the value is used.
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
