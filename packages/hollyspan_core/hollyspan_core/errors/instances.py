"""Errors of the platform's instance list."""

from .base import HollyspanError

__all__ = ["InstanceListError"]


class InstanceListError(HollyspanError):
    """The instance list cannot be read."""

    status = 503
    kind = "server_error"
    code = "instance_list_unavailable"
