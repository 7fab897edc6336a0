"""Workspaces of callers: who a caller is and what it may ask for."""

from .access import WorkspaceAccess

__all__ = ["WorkspaceAccess"]
