"""Serving of requests for plain services."""

from .part import open_services

__all__ = ["open_services"]
