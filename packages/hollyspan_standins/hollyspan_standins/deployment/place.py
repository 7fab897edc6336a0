"""Data centres of a deployment."""

__all__ = [
    "build_cooperative_places",
    "build_places",
    "build_trust_places",
    "Place",
]


class Place:
    """One data centre with its processes.

    Parameters
    ----------
    data_centre, region : str
    engines, daemons : int
        How many of each.
    services : tuple of str
        Names of the plain services, one process each.
    disks : int
        How many of the daemons have a data folder.
    """

    __slots__ = (
        "data_centre",
        "region",
        "engines",
        "services",
        "daemons",
        "disks",
    )

    def __init__(
        self,
        *,
        data_centre,
        region,
        engines=1,
        services=(),
        daemons=1,
        disks=0,
    ):
        self.data_centre = data_centre
        self.region = region
        self.engines = engines
        self.services = services
        self.daemons = daemons
        self.disks = disks


def build_places(*regions, engines=1, daemons=1, services=("clock",)):
    """Return one place in each region; services run in the first."""
    return [
        Place(
            data_centre=f"{region}-a",
            region=region,
            engines=engines,
            daemons=daemons,
            services=services if index == 0 else (),
        )
        for index, region in enumerate(regions)
    ]


def build_trust_places(*, engines=(4, 3, 3), daemons=3):
    """Return the Trust's three data centres."""
    places = build_places("attiki", "makedonia", "kriti", daemons=daemons)
    for place, count in zip(places, engines):
        place.engines = count
    return places


def build_cooperative_places(*, engines=(2, 2, 1), daemons=3):
    """Return the Cooperative's three data centres."""
    places = build_places(
        "almaty", "astana", "shymkent", daemons=daemons, services=("orders",)
    )
    for place, count in zip(places, engines):
        place.engines = count
    return places
