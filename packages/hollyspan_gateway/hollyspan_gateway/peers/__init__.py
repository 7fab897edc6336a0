"""Messages and calls between gateways."""

from .calls import fetch_answer
from .calls import READS_PATH
from .codec import decode_message
from .codec import encode_message
from .copies import encode_copy
from .copies import fetch_copy
from .load_broadcast import LoadNews
from .message import FleetMessage
from .message import UpstreamLoad
from .message import UpstreamTotal
from .peer import build_identifier
from .peer import Peer
from .table import PeerTable

__all__ = [
    "FleetMessage",
    "LoadNews",
    "Peer",
    "PeerTable",
    "READS_PATH",
    "UpstreamLoad",
    "UpstreamTotal",
    "build_identifier",
    "decode_message",
    "encode_copy",
    "encode_message",
    "fetch_answer",
    "fetch_copy",
]
