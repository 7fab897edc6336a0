"""The configuration in force on this daemon."""

from .disk import open_disk
from .holder import ConfigurationHolder
from .part import open_configurations
from .puller import Puller
from .sources import CURRENT_KEY
from .sources import encode_configuration
from .sources import HISTORY_PREFIX
from .sources import name_history_key
from .sources import read_store

__all__ = [
    "CURRENT_KEY",
    "ConfigurationHolder",
    "HISTORY_PREFIX",
    "Puller",
    "encode_configuration",
    "name_history_key",
    "open_configurations",
    "open_disk",
    "read_store",
]
