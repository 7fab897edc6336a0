"""Platform store with the part of etcd's JSON gateway that daemons use."""

from .server import build_store
from .server import StoreServer

__all__ = ["StoreServer", "build_store"]
