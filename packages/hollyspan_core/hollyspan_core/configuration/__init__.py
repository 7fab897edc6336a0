"""The fleet's configuration document."""

from .configuration import Configuration
from .reader import parse_configuration
from .scope import Scope

__all__ = ["Configuration", "Scope", "parse_configuration"]
