"""Decoding and checking of a configuration document."""

import json

from ..errors import ConfigurationInvalidError
from ..schemas import find_faults
from .configuration import Configuration

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
    except ValueError as error:
        raise ConfigurationInvalidError(f"no JSON: {error}") from error
    faults = find_faults(document, schema="configuration")
    if faults:
        raise ConfigurationInvalidError("; ".join(faults))
    return Configuration(document=document)
