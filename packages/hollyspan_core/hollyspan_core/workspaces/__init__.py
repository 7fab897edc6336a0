"""Workspaces and the digests of their keys."""

from .keys import digest_key
from .keys import read_bearer_key
from .table import WorkspaceTable
from .workspace import Workspace

__all__ = ["Workspace", "WorkspaceTable", "digest_key", "read_bearer_key"]
