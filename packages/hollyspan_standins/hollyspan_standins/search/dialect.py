"""Wire format of the search, with upstreams and jobs in the store."""

import json

from hollyspan_core.documents import parse_document
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.routes import RouteKind

from ..memory import build_entry
from ..memory import build_route
from ..memory import build_table
from ..memory import PlainDialect

__all__ = [
    "CONFIGURATION_KEY",
    "JOB_TARGET",
    "SearchDialect",
    "STREAM_TARGET",
    "build_upstream_key",
    "encode_items",
    "encode_upstream",
]

CONFIGURATION_KEY = "configuration/routes"
JOB_TARGET = b"/b/x"
STREAM_TARGET = b"/s/x"
COMPLETION_S = 18.0
RETENTION_S = 120.0
STREAM_TIMEOUT_S = 20.0
MAX_ATTEMPTS = 3


class SearchDialect(PlainDialect):
    """Plain wire format that also reads entries of the store."""

    configuration_prefix = "configuration/"
    upstreams_prefix = "upstreams/"

    @staticmethod
    def decode_configuration(entry):
        if entry.key != CONFIGURATION_KEY:
            return None
        routes = [
            build_route(
                name="streams",
                prefix="/s/",
                timeout=STREAM_TIMEOUT_S,
                max_attempts=MAX_ATTEMPTS,
            ),
            build_route(
                name="jobs",
                prefix="/b/",
                kind=RouteKind.BATCH,
                max_attempts=MAX_ATTEMPTS,
                completion_seconds=COMPLETION_S,
                retention_seconds=RETENTION_S,
            ),
        ]
        return build_table(routes, revision=entry.revision)

    @staticmethod
    def decode_upstream(entry):
        name = entry.key.rpartition("/")[2]
        return build_entry(name, **parse_document(entry.content))

    @staticmethod
    def decode_items(body):
        return [
            Item(
                identifier=row["id"],
                path=JOB_TARGET.decode(),
                headers=[("part", str(part)) for part in row["parts"]],
                body=b"",
            )
            for row in parse_document(body)
        ]


def build_upstream_key(name):
    """Return the key of an upstream's entry."""
    return SearchDialect.upstreams_prefix + name


def encode_upstream(*, port, slots, version, started_at_ms):
    """Encode the entry of an upstream."""
    values = {
        "port": port,
        "slots": slots,
        "version": version,
        "started_at_ms": started_at_ms,
    }
    return json.dumps(values).encode()


def encode_items(items):
    """Encode a job as the body of its request.

    Parameters
    ----------
    items : dict
        Parts of the prompt by the item's identifier.
    """
    rows = [
        {"id": name, "parts": list(parts)} for name, parts in items.items()
    ]
    return json.dumps(rows).encode()
