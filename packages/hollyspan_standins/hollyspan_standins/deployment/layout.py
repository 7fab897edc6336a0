"""Layout of the data centres of a deployment."""

__all__ = [
    "build_cooperative_layouts",
    "build_layouts",
    "build_trust_layouts",
    "DataCentreLayout",
]


class DataCentreLayout:
    """Number of processes of each kind in one data centre.

    Parameters
    ----------
    data_centre, region : str
    engines, daemons : int
        Numbers of engines and of daemons.
    services : tuple of str
        Names of the plain services, with one process each.
    disks : int
        Number of daemons that have a data folder.
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


def build_layouts(*regions, engines=1, daemons=1, services=("clock",)):
    """Build one data centre in each region, with services in the first."""
    return [
        DataCentreLayout(
            data_centre=f"{region}-a",
            region=region,
            engines=engines,
            daemons=daemons,
            services=services if index == 0 else (),
        )
        for index, region in enumerate(regions)
    ]


def build_trust_layouts(*, engines=(4, 3, 3), daemons=3):
    """Build the three data centres of the Trust."""
    layouts = build_layouts("attiki", "makedonia", "kriti", daemons=daemons)
    for layout, count in zip(layouts, engines):
        layout.engines = count
    return layouts


def build_cooperative_layouts(*, engines=(2, 2, 1), daemons=3):
    """Build the three data centres of the Cooperative."""
    layouts = build_layouts(
        "almaty", "astana", "shymkent", daemons=daemons, services=("orders",)
    )
    for layout, count in zip(layouts, engines):
        layout.engines = count
    return layouts
