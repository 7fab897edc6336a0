"""Ended upstreams and the requests that have ended them."""

from .detector import is_broken_off
from .guard import RequestGuard
from .notices import BlockNotice
from .notices import EndNotice
from .notices import OtherEndNotice
from .notices import SurvivalNotice
from .undelimited import check_undelimited_end

__all__ = [
    "BlockNotice",
    "EndNotice",
    "OtherEndNotice",
    "RequestGuard",
    "SurvivalNotice",
    "check_undelimited_end",
    "is_broken_off",
]
