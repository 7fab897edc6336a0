"""Decoding and checking of a configuration document."""

import json

from ..errors import ConfigurationInvalidError
from .configuration import Configuration
from .faults import find_configuration_faults

__all__ = ["parse_configuration"]


def parse_configuration(content):
    """Decode and check a configuration document.

    Parameters
    ----------
    content : bytes
        JSON.

    Returns
    -------
    Configuration

    Raises
    ------
    ConfigurationInvalidError
        The document has faults; all are named at once.
    """
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ConfigurationInvalidError(f"no JSON: {error}") from error
    faults = find_configuration_faults(document)
    if faults:
        raise ConfigurationInvalidError("; ".join(faults))
    return Configuration(document=document)
