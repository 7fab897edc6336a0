"""Validation and storage of new configuration documents."""

import json

from hollyspan_core.configuration import find_configuration_faults
from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationConflictError
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError

from ..configurations import build_history_key
from ..configurations import CURRENT_KEY

__all__ = ["accept_configuration"]


async def accept_configuration(store, document):
    """Write a configuration document as the next generation.

    Parameters
    ----------
    store : Store
    document : dict
        Its generation is the one it is based on, 0 for the first document.

    Returns
    -------
    Configuration
        The accepted configuration, with the generation incremented by one.

    Raises
    ------
    ConfigurationInvalidError
        The document is invalid; the message lists all faults.
    ConfigurationConflictError
        Another writer was faster; the message contains the generation in
        the store.
    StoreUnavailableError
        The store did not answer. If the outcome is ``unknown``, the document
        may have been accepted.

    Notes
    -----
    The current document is copied to its history key before it is replaced,
    so that the history is complete even if its writer failed between the two
    writes. If the reply to a write was lost and the store contains a still
    higher generation, the history key shows whether the write was accepted.
    """
    configuration = increment_generation(document)
    based_on = configuration.generation - 1
    content = encode(configuration.document)
    current = await store.get(CURRENT_KEY)
    if read_generation(current) != based_on:
        raise build_conflict(current, based_on=based_on)
    if current is not None:
        await write_history(store, based_on, current.content)
    await write(store, current, content, generation=configuration.generation)
    try:
        await write_history(store, configuration.generation, content)
    except StoreUnavailableError:
        # The next writer adds the missing copy.
        pass
    return configuration


def increment_generation(document):
    based_on = document.get("generation")
    if type(based_on) is not int or based_on < 0:
        raise ConfigurationInvalidError(
            "$.generation: must be the generation the document is based on"
        )
    incremented = {**document, "generation": based_on + 1}
    faults = find_configuration_faults(incremented)
    if faults:
        raise ConfigurationInvalidError("; ".join(faults))
    return parse_configuration(encode(incremented))


def encode(document):
    return json.dumps(document, separators=(",", ":")).encode()


def read_generation(entry):
    if entry is None:
        return 0
    return parse_configuration(entry.content).generation


def build_conflict(entry, *, based_on):
    return ConfigurationConflictError(
        f"the document is based on generation {based_on}, but generation"
        f" {read_generation(entry)} is accepted"
    )


async def write(store, current, content, *, generation):
    try:
        if current is None:
            await store.create(CURRENT_KEY, content)
        else:
            await store.replace(
                CURRENT_KEY, content, revision=current.revision
            )
    except StoreConflictError as error:
        if await was_accepted(store, error, content, generation=generation):
            return
        raise build_conflict(error.entry, based_on=generation - 1) from error


async def was_accepted(store, error, content, *, generation):
    """Return whether a write with an ambiguous result took effect."""
    if not error.ambiguous:
        return False
    if read_generation(error.entry) <= generation:
        return False
    stored = await read_history(store, generation)
    return stored is not None and stored.content == content


async def read_history(store, generation):
    try:
        return await store.get(build_history_key(generation))
    except StoreUnavailableError as error:
        raise StoreUnavailableError(
            f"generation {generation} may have been accepted",
            outcome=Outcome.UNKNOWN,
        ) from error


async def write_history(store, generation, content):
    try:
        await store.create(build_history_key(generation), content)
    except StoreKeyExistsError:
        pass
