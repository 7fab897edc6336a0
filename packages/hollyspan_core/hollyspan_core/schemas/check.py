"""Check of a document against a committed JSON Schema."""

import functools
import json
from pathlib import Path

import jsonschema

__all__ = ["find_faults"]


@functools.cache
def load_validator(schema):
    path = Path(__file__).with_name(f"{schema}.json")
    document = json.loads(path.read_bytes())
    return jsonschema.Draft202012Validator(document)


def find_faults(document, *, schema):
    """Name all faults of a document.

    Parameters
    ----------
    document : object
        Decoded JSON.
    schema : str
        Name of the schema: ``settings`` or ``configuration``.

    Returns
    -------
    list of str
        One entry a fault, with its path in the document; empty when valid.
    """
    validator = load_validator(schema)
    errors = sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    return [f"{error.json_path}: {error.message}" for error in errors]
