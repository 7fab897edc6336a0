"""Counters and histograms of a gateway."""

from .metrics import Metrics

__all__ = ["Metrics"]
