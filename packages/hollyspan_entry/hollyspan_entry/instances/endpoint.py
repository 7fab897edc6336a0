"""Entries of the instance list."""

__all__ = ["Endpoint"]


class Endpoint:
    """Instance as listed by the platform.

    Parameters
    ----------
    name : str
    kind : str
        ``engine``, ``service`` or ``daemon``.
    service : str
        Name of the model or plain service; for daemons the name of the group.
    data_centre : str
    address : str
    ports : dict
        Port number by name.
    serving : bool
        True if the instance is ready and not terminating.
    """

    __slots__ = (
        "name",
        "kind",
        "service",
        "data_centre",
        "address",
        "ports",
        "serving",
    )

    def __init__(
        self, *, name, kind, service, data_centre, address, ports, serving
    ):
        self.name = name
        self.kind = kind
        self.service = service
        self.data_centre = data_centre
        self.address = address
        self.ports = ports
        self.serving = serving
