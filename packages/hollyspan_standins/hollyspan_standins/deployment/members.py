"""Daemons and upstreams of a deployment."""

from .ports import pick_port

__all__ = ["build_daemons", "build_upstreams", "Daemon", "Upstream"]


class Daemon:
    """Daemon with its location and ports."""

    __slots__ = (
        "name",
        "data_centre",
        "region",
        "http_port",
        "peer_port",
        "data_folder",
    )

    def __init__(
        self, *, name, data_centre, region, http_port, peer_port, data_folder
    ):
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.http_port = http_port
        self.peer_port = peer_port
        self.data_folder = data_folder


class Upstream:
    """Engine or plain service with its location."""

    __slots__ = ("name", "kind", "service", "data_centre", "region")

    def __init__(self, *, name, kind, service, data_centre, region):
        self.name = name
        self.kind = kind
        self.service = service
        self.data_centre = data_centre
        self.region = region


def build_daemons(layouts, folder, first_port=None):
    """Build the daemons of all data centres.

    Parameters
    ----------
    layouts : list of DataCentreLayout
    folder : pathlib.Path
        Parent of the data folders.
    first_port : int, optional
        HTTP port of the first daemon; the others get free ports.
    """
    daemons = []
    for layout in layouts:
        for index in range(1, layout.daemons + 1):
            name = f"{layout.data_centre}-{index}"
            has_disk = index <= layout.disks
            is_first = not daemons
            daemons.append(
                Daemon(
                    name=name,
                    data_centre=layout.data_centre,
                    region=layout.region,
                    http_port=(is_first and first_port) or pick_port(),
                    peer_port=pick_port(),
                    data_folder=folder / f"{name}.data" if has_disk else None,
                )
            )
    return daemons


def build_upstreams(layouts, model):
    """Build the engines and plain services of all data centres."""
    upstreams = []
    for layout in layouts:
        location = {"data_centre": layout.data_centre, "region": layout.region}
        for index in range(1, layout.engines + 1):
            name = f"{layout.data_centre}-engine-{index}"
            upstreams.append(
                Upstream(name=name, kind="engine", service=model, **location)
            )
        for service in layout.services:
            name = f"{layout.data_centre}-{service}"
            upstreams.append(
                Upstream(
                    name=name, kind="service", service=service, **location
                )
            )
    return upstreams
