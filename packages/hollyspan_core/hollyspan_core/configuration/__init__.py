"""The fleet's configuration document."""

from .configuration import Configuration
from .difference import Difference
from .difference import list_differences
from .faults import find_configuration_faults
from .reader import parse_configuration
from .scope import Scope

__all__ = [
    "Configuration",
    "Difference",
    "Scope",
    "find_configuration_faults",
    "list_differences",
    "parse_configuration",
]
