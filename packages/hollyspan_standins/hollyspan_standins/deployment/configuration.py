"""Initial configuration document and its upload to the store."""

import base64
import hashlib
import json
import os

from .calls import post_json

__all__ = ["build_configuration", "write_configuration"]

CALLER_KEY = "dev-key"
WORKSPACE = "dev"
TOKEN_BYTES = 16


def build_configuration(*, model, services, slots, keys=None, **defaults):
    """Build the initial configuration document.

    Parameters
    ----------
    model : str
        Name of the model that the engines serve.
    services : iterable of str
        Names of the plain services; ``POST /announce`` of each is
        non-idempotent.
    slots : int
        Slots of each engine.
    keys : dict of str to str, optional
        Workspace by caller's key.
    **defaults
        Values that override those of sections of ``defaults``, such as
        ``batch={"item_attempts": 2}``.
    """
    service_definitions = {model: {"kind": "model", "idempotent": True}}
    for service in services:
        service_definitions[service] = {
            "kind": "service",
            "non_idempotent": ["POST /announce"],
        }
    sections = build_defaults(slots)
    for name, values in defaults.items():
        sections[name] = {**sections.get(name, {}), **values}
    return {
        "generation": 1,
        "defaults": sections,
        "services": service_definitions,
        "keys": build_keys(keys or {CALLER_KEY: WORKSPACE}),
        "objectives": [
            {"name": "first-token", "kind": "first_token", "target": 0.95},
            {"name": "tokens", "kind": "between_tokens", "target": 0.95},
            {"name": "whole", "kind": "whole_answers", "target": 0.999},
            {"name": "deadlines", "kind": "job_deadlines", "target": 0.99},
        ],
        "exceptions": [],
    }


def build_defaults(slots):
    """Build the fleet-wide defaults."""
    return {
        "online": {
            "deadline_seconds": 30,
            "first_token_seconds": 1.3,
            "between_tokens_seconds": 0.041,
        },
        "workspace": {"requests_per_second": 200, "concurrent_requests": 500},
        "batch": {
            "harm_weight": 0.5,
            "item_attempts": 3,
            "item_timeout_seconds": 60,
            "chunk_items": 500,
            "reserve_slots": 1,
        },
        "retry": {"budget_ratio": 0.1, "attempts": 2},
        "upstream": {"slots": slots, "checks_fencing": False},
    }


def build_keys(keys):
    """Build the list of callers' keys, each given by its digest."""
    return [
        {
            "digest": hashlib.sha256(key.encode()).hexdigest(),
            "workspace": workspace,
        }
        for key, workspace in keys.items()
    ]


def write_configuration(store, document):
    """Write the initial configuration to an empty store.

    Parameters
    ----------
    store : str
        Base URL of the store.
    document : dict
    """
    value = os.urandom(TOKEN_BYTES) + json.dumps(document).encode()
    history = f"configuration/history/{document['generation']:010d}"
    for key in (history, "configuration/current"):
        put = {"key": encode(key.encode()), "value": encode(value)}
        post_json(f"{store}/v3/kv/put", put)


def encode(data):
    """Encode bytes as base64 text."""
    return base64.b64encode(data).decode()
