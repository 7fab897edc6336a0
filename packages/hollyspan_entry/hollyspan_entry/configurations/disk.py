"""Local copy of the configuration in the data folder."""

import contextlib
import os
from pathlib import Path

import eliot

from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationInvalidError

from .sources import encode_configuration

__all__ = ["open_disk_copy", "read_disk_copy"]

FILE_NAME = "configuration.json"


def read_disk_copy(folder):
    """Read the local copy of the configuration.

    Parameters
    ----------
    folder : str or None
        Data folder; None if the daemon has none.

    Returns
    -------
    Configuration or None
        None if there is no valid copy.
    """
    if folder is None:
        return None
    try:
        return parse_configuration((Path(folder) / FILE_NAME).read_bytes())
    except (OSError, ConfigurationInvalidError) as error:
        eliot.log_message(message_type="configuration:disk", reason=str(error))
        return None


def write_disk_copy(folder, configuration):
    path = Path(folder) / FILE_NAME
    partial = path.with_suffix(".part")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        with open(partial, "wb") as file:
            file.write(encode_configuration(configuration))
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, path)
    except OSError as error:
        # The copy is only a fallback; the daemon can run without it.
        eliot.log_message(message_type="configuration:disk", reason=str(error))


@contextlib.contextmanager
def open_disk_copy(holder, *, folder):
    """Save each new configuration to the data folder.

    Parameters
    ----------
    holder : ConfigurationHolder
    folder : str or None
        Data folder; if None, no copy is saved.

    Yields
    ------
    None
    """
    if folder is None:
        yield
        return

    def save(configuration):
        write_disk_copy(folder, configuration)

    holder.subscribe(save)
    try:
        yield
    finally:
        holder.listeners.remove(save)
