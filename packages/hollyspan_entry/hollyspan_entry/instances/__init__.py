"""The platform's instance list: which upstreams and daemons there are."""

from .endpoint import Endpoint
from .part import open_instances
from .reader import parse_slices
from .registration import Registration
from .seed import Seed

__all__ = [
    "Endpoint",
    "Registration",
    "Seed",
    "open_instances",
    "parse_slices",
]
