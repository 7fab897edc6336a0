"""Upstreams and daemons from the platform's instance list."""

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
