"""Token streams from engines."""

from .assembly import assemble_answer
from .batch_cancellation import cancel_peer_batch_streams
from .cancellation import cancel_stream
from .cancellation import send_cancel
from .names import build_batch_stream_id
from .run import run_stream

__all__ = [
    "assemble_answer",
    "build_batch_stream_id",
    "cancel_stream",
    "cancel_peer_batch_streams",
    "run_stream",
    "send_cancel",
]
