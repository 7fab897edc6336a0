"""Names and addresses of the programs that the daemon connects to."""

from .resolver import open_address_resolver

__all__ = ["open_address_resolver"]
