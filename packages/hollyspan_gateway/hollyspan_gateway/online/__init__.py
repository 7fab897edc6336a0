"""Requests that callers wait for."""

from .events import EventSplitter
from .head import RequestHead
from .reply import UpstreamReply

__all__ = ["EventSplitter", "RequestHead", "UpstreamReply"]
