"""Instance list in the shape of Kubernetes EndpointSlices, with a lag."""

from .server import build_instances
from .server import InstancesServer

__all__ = ["InstancesServer", "build_instances"]
