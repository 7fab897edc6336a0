"""Validation of documents against the packaged JSON Schemas."""

import functools
import json
from pathlib import Path

import jsonschema

__all__ = ["find_default", "find_faults", "find_value_faults"]


@functools.cache
def load_schema(name):
    path = Path(__file__).with_name(f"{name}.json")
    return json.loads(path.read_bytes())


@functools.cache
def load_validator(name):
    return jsonschema.Draft202012Validator(load_schema(name))


def find_faults(document, *, schema):
    """Find all faults of a document.

    Parameters
    ----------
    document : object
        Decoded JSON.
    schema : str
        Name of the schema: ``settings`` or ``configuration``.

    Returns
    -------
    list of str
        One message per fault, with its path in the document; empty if the
        document is valid.
    """
    validator = load_validator(schema)
    errors = sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    return [f"{error.json_path}: {error.message}" for error in errors]


def find_default(name):
    """Return the schema's default of an optional value.

    Parameters
    ----------
    name : str
        Section and name joined by a dot.

    Returns
    -------
    object
    """
    section, _, key = name.partition(".")
    sections = load_schema("configuration")["properties"]["defaults"]
    return sections["properties"][section]["properties"][key]["default"]


def find_value_faults(name, value):
    """Find the faults of a value that an exception sets.

    Parameters
    ----------
    name : str
        Section and name of a default joined by a dot.
    value : object
        Decoded JSON.

    Returns
    -------
    list of str
    """
    section, _, key = name.partition(".")
    sections = load_schema("configuration")["properties"]["defaults"]
    values = sections["properties"].get(section, {}).get("properties", {})
    if key not in values:
        return ["no such default"]
    validator = jsonschema.Draft202012Validator(values[key])
    return [error.message for error in validator.iter_errors(value)]
