"""Messages between daemons: schema, encoding and digests."""

from .batch_streams import BatchStreams
from .codec import compute_digest
from .codec import convert_codec_errors
from .codec import decode_message
from .codec import encode_message
from .codec import PeerMessage
from .daemon_state import DaemonState
from .forward import build_forward_request
from .forward import ForwardHead
from .forward import ForwardRequest
from .forward import read_forward_head
from .forward import read_forward_request
from .heartbeat import build_heartbeat
from .heartbeat import Heartbeat
from .heartbeat import read_heartbeat
from .hello import build_hello
from .hello import Hello
from .hello import read_hello
from .in_flight import InFlight
from .notice import build_notice
from .notice import Notice
from .notice import read_notice
from .notice_answer import build_notice_answer
from .notice_answer import NoticeAnswer
from .notice_answer import read_notice_answer
from .report import UpstreamLoadReport

__all__ = [
    "BatchStreams",
    "ForwardHead",
    "ForwardRequest",
    "Heartbeat",
    "Hello",
    "InFlight",
    "Notice",
    "NoticeAnswer",
    "PeerMessage",
    "DaemonState",
    "UpstreamLoadReport",
    "build_forward_request",
    "build_heartbeat",
    "build_hello",
    "build_notice",
    "build_notice_answer",
    "compute_digest",
    "decode_message",
    "encode_message",
    "convert_codec_errors",
    "read_forward_head",
    "read_forward_request",
    "read_heartbeat",
    "read_hello",
    "read_notice",
    "read_notice_answer",
]
