"""What a simulated gateway knows of the others."""

__all__ = ["PeersModel"]


class PeersModel:
    """Stands in for a gateway's table of the others.

    Parameters
    ----------
    fleet : FleetModel
    identifier : str
        Of the gateway.
    region : int
        Hash of the name of its region.
    """

    __slots__ = ("fleet", "identifier", "region")

    def __init__(self, *, fleet, identifier, region):
        self.fleet = fleet
        self.identifier = identifier
        self.region = region

    def find_region(self, identifier):
        """Return the hash of the region of a gateway."""
        return next(
            gateway.region
            for gateway in self.fleet.gateways
            if gateway.identifier == identifier
        )
