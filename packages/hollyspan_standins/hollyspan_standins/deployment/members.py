"""The processes that the places of a deployment need."""

from .ports import pick_port

__all__ = ["build_daemons", "build_upstreams", "Daemon", "Upstream"]


class Daemon:
    """One daemon with its ports."""

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
    """One engine or plain service."""

    __slots__ = ("name", "kind", "service", "data_centre", "region")

    def __init__(self, *, name, kind, service, data_centre, region):
        self.name = name
        self.kind = kind
        self.service = service
        self.data_centre = data_centre
        self.region = region


def build_daemons(places, folder, first_port=None):
    """Return the daemons of all places.

    Parameters
    ----------
    places : list of Place
    folder : pathlib.Path
        Holds the data folders.
    first_port : int, optional
        HTTP port of the very first daemon; the others take free ones.
    """
    daemons = []
    for place in places:
        for index in range(1, place.daemons + 1):
            name = f"{place.data_centre}-{index}"
            has_disk = index <= place.disks
            is_first = not daemons
            daemons.append(
                Daemon(
                    name=name,
                    data_centre=place.data_centre,
                    region=place.region,
                    http_port=(is_first and first_port) or pick_port(),
                    peer_port=pick_port(),
                    data_folder=folder / f"{name}.data" if has_disk else None,
                )
            )
    return daemons


def build_upstreams(places, model):
    """Return the engines and plain services of all places."""
    upstreams = []
    for place in places:
        where = {"data_centre": place.data_centre, "region": place.region}
        for index in range(1, place.engines + 1):
            name = f"{place.data_centre}-engine-{index}"
            upstreams.append(
                Upstream(name=name, kind="engine", service=model, **where)
            )
        for service in place.services:
            name = f"{place.data_centre}-{service}"
            upstreams.append(
                Upstream(name=name, kind="service", service=service, **where)
            )
    return upstreams
