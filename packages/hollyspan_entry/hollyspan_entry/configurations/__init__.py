"""Loading and updating of the configuration of this daemon."""

from .disk import open_disk_copy
from .holder import ConfigurationHolder
from .part import open_configurations
from .puller import ConfigurationPuller
from .sources import build_history_key
from .sources import CURRENT_KEY
from .sources import encode_configuration
from .sources import HISTORY_PREFIX
from .sources import read_stored_configuration

__all__ = [
    "CURRENT_KEY",
    "ConfigurationHolder",
    "HISTORY_PREFIX",
    "ConfigurationPuller",
    "encode_configuration",
    "build_history_key",
    "open_configurations",
    "open_disk_copy",
    "read_stored_configuration",
]
