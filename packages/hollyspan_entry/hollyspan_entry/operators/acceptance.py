"""Acceptance of a configuration document."""

import json

from hollyspan_core.configuration import find_configuration_faults
from hollyspan_core.configuration import parse_configuration
from hollyspan_core.errors import ConfigurationConflictError
from hollyspan_core.errors import ConfigurationInvalidError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreKeyExistsError
from hollyspan_core.errors import StoreUnavailableError

from ..configurations import CURRENT_KEY
from ..configurations import name_history_key

__all__ = ["accept_configuration"]


async def accept_configuration(store, document):
    """Write a configuration document as the next generation.

    Parameters
    ----------
    store : Store
    document : dict
        Its generation is the one it is based on, 0 for the first.

    Returns
    -------
    Configuration
        With the generation raised by one.

    Raises
    ------
    ConfigurationInvalidError
        The document has faults; all are named at once.
    ConfigurationConflictError
        Another writer was first; names the generation in the store.
    StoreUnavailableError
        The store did not answer. With the outcome ``unknown`` the document
        may have been accepted.

    Notes
    -----
    The current document is copied to its history key before it is replaced,
    so that no generation is missing there even when its writer died in
    between. A writer whose replies were lost, and who finds a still higher
    generation, learns from the history key whether its own was accepted.
    """
    configuration = raise_generation(document)
    based_on = configuration.generation - 1
    content = encode(configuration.document)
    current = await store.get(CURRENT_KEY)
    if read_generation(current) != based_on:
        raise build_conflict(current, based_on=based_on)
    if current is not None:
        await keep_history(store, based_on, current.content)
    await write(store, current, content, generation=configuration.generation)
    try:
        await keep_history(store, configuration.generation, content)
    except StoreUnavailableError:
        # The next writer adds the copy.
        pass
    return configuration


def raise_generation(document):
    based_on = document.get("generation")
    if type(based_on) is not int or based_on < 0:
        raise ConfigurationInvalidError(
            "$.generation: must be the generation the document is based on"
        )
    raised = {**document, "generation": based_on + 1}
    faults = find_configuration_faults(raised)
    if faults:
        raise ConfigurationInvalidError("; ".join(faults))
    return parse_configuration(encode(raised))


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
    except StoreConflictError as failure:
        if await was_accepted(store, failure, content, generation=generation):
            return
        raise build_conflict(
            failure.entry, based_on=generation - 1
        ) from failure


async def was_accepted(store, failure, content, *, generation):
    """Return whether a write without a certain answer took effect."""
    if not failure.ambiguous:
        return False
    if read_generation(failure.entry) <= generation:
        return False
    kept = await read_history(store, generation)
    return kept is not None and kept.content == content


async def read_history(store, generation):
    try:
        return await store.get(name_history_key(generation))
    except StoreUnavailableError as failure:
        raise StoreUnavailableError(
            f"generation {generation} may have been accepted",
            outcome=Outcome.UNKNOWN,
        ) from failure


async def keep_history(store, generation, content):
    try:
        await store.create(name_history_key(generation), content)
    except StoreKeyExistsError:
        pass
