"""Rate limits that upstreams name, shared by all daemons."""

from .bucket import RateBucket
from .holding import must_hold_for_rate
from .share import divide_rate_limits
from .share import LimitedUpstream
from .share import RateSharer

__all__ = [
    "LimitedUpstream",
    "RateBucket",
    "RateSharer",
    "divide_rate_limits",
    "must_hold_for_rate",
]
