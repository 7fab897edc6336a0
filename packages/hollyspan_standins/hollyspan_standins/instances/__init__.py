"""Instance list in the shape of Kubernetes EndpointSlices, with a lag."""

from .server import InstancesServer

__all__ = ["InstancesServer"]
