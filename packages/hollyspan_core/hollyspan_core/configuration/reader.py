"""Decoding and validation of configuration documents."""

import json

from ..errors import ConfigurationInvalidError
from .configuration import Configuration
from .faults import find_configuration_faults

__all__ = ["parse_configuration"]


def parse_configuration(content):
    """Decode and validate a configuration document.

    Parameters
    ----------
    content : bytes
        JSON text.

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationInvalidError
        The document is invalid; the message lists all faults.
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ConfigurationInvalidError(f"invalid JSON: {error}") from error
    faults = find_configuration_faults(document)
    if faults:
        raise ConfigurationInvalidError("; ".join(faults))
    return Configuration(document=document)
