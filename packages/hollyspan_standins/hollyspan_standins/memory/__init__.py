"""In-memory store, clients and upstreams for unit tests of the gateway."""

from .builders import build_entry
from .builders import build_events
from .builders import build_head
from .builders import build_job
from .builders import build_route
from .builders import build_table
from .byte_pool import BytePool
from .dialect import PlainDialect
from .fleet import build_dead_store
from .fleet import MemoryFleet
from .links import LinkState
from .network import MemoryNetwork
from .peer_call import PeerCall
from .pool import MemoryPool
from .raw_pool import RawConnection
from .raw_pool import RawPool
from .request import MemoryRequest
from .wire import MemoryWire

__all__ = [
    "BytePool",
    "LinkState",
    "MemoryFleet",
    "MemoryNetwork",
    "PeerCall",
    "MemoryPool",
    "MemoryRequest",
    "MemoryWire",
    "PlainDialect",
    "RawConnection",
    "RawPool",
    "build_dead_store",
    "build_entry",
    "build_events",
    "build_head",
    "build_job",
    "build_route",
    "build_table",
]
