"""Messages and calls between gateways."""

from .calls import fetch_answer
from .calls import JOB_READS_PATH
from .codec import decode_message
from .codec import encode_message
from .load_broadcast import build_total
from .load_broadcast import LoadBroadcaster
from .message import FleetMessage
from .message import UpstreamLoad
from .message import UpstreamTotal
from .peer import build_identifier
from .peer import parse_identifier
from .peer import Peer
from .snapshots import encode_snapshot
from .snapshots import fetch_snapshot
from .table import PeerTable

__all__ = [
    "FleetMessage",
    "LoadBroadcaster",
    "Peer",
    "PeerTable",
    "JOB_READS_PATH",
    "UpstreamLoad",
    "UpstreamTotal",
    "build_identifier",
    "build_total",
    "decode_message",
    "encode_snapshot",
    "encode_message",
    "fetch_answer",
    "fetch_snapshot",
    "parse_identifier",
]
