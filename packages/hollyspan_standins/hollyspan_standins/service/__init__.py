"""Plain service with non-idempotent calls."""

from .server import build_service

__all__ = ["build_service"]
