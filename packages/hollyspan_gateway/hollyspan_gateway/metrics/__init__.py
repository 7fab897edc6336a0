"""Counters and latencies."""

from .metrics import Metrics

__all__ = ["Metrics"]
