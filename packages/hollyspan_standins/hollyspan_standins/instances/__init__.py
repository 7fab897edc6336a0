"""Instance list in the format of Kubernetes EndpointSlices, with a lag."""

from .server import InstancesServer

__all__ = ["InstancesServer"]
