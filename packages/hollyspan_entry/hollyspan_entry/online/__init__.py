"""Serving of online requests for models."""

from .actions import SERVICE_REQUEST
from .attempts import run_attempts
from .deadline import run_until
from .handler import mark_outcome_unknown
from .measurements import RequestMeasurements
from .part import open_online
from .reading import read_options
from .sink import HttpSink

__all__ = [
    "HttpSink",
    "RequestMeasurements",
    "SERVICE_REQUEST",
    "open_online",
    "read_options",
    "run_attempts",
    "run_until",
    "mark_outcome_unknown",
]
