"""OpenTelemetry metrics of the daemon."""

from .part import open_metrics

__all__ = ["open_metrics"]
