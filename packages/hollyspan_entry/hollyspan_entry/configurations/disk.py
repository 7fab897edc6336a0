"""Copy of the configuration in the data folder."""

import contextlib
import os
from pathlib import Path

import eliot

from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationInvalidError

from .sources import encode_configuration

__all__ = ["open_disk", "read_disk"]

FILE_NAME = "configuration.json"


def read_disk(folder):
    """Return the configuration kept in a folder.

    Parameters
    ----------
    folder : str or None

    Returns
    -------
    Configuration or None
        None when there is none that can be read.
    """
    if folder is None:
        return None
    try:
        return parse_configuration((Path(folder) / FILE_NAME).read_bytes())
    except (OSError, ConfigurationInvalidError) as error:
        eliot.log_message(message_type="configuration:disk", reason=str(error))
        return None


def write_disk(folder, configuration):
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
        # The copy is a fall-back; the daemon goes on without it.
        eliot.log_message(message_type="configuration:disk", reason=str(error))


@contextlib.contextmanager
def open_disk(holder, *, folder):
    """Keep a copy of each configuration that comes in force.

    Parameters
    ----------
    holder : ConfigurationHolder
    folder : str or None
        Without one, no copy is kept.

    Yields
    ------
    None
    """
    if folder is None:
        yield
        return

    def keep(configuration):
        write_disk(folder, configuration)

    holder.subscribe(keep)
    try:
        yield
    finally:
        holder.listeners.remove(keep)
