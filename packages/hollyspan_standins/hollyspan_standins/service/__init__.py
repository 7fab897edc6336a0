"""Plain service with calls that may not be repeated."""

from .server import build_service

__all__ = ["build_service"]
