"""Online requests: admission, relay to upstreams and answers."""

from .events import EventSplitter
from .head import RequestHead
from .reply import UpstreamReply

__all__ = ["EventSplitter", "RequestHead", "UpstreamReply"]
