"""Online requests: admission, relay to upstreams and answers."""

from .answers import has_events
from .events import EventSplitter
from .head import RequestHead
from .reply import UpstreamReply

__all__ = ["EventSplitter", "RequestHead", "UpstreamReply", "has_events"]
