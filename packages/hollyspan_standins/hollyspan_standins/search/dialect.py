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
    "ITEM_TOKENS",
    "JOB_TARGET",
    "RETIREMENT_PREFIX",
    "SearchDialect",
    "STREAM_TARGET",
    "build_upstream_key",
    "encode_items",
    "encode_upstream",
]

CONFIGURATION_KEY = "configuration/routes"
RETIREMENT_PREFIX = "configuration/retire/"
JOB_TARGET = b"/b/x"
STREAM_TARGET = b"/s/x"
COMPLETION_S = 18.0
RETENTION_S = 120.0
STREAM_TIMEOUT_S = 20.0
# That of the users, several times as long as upstreams take here.
LATENCY_TARGET_S = 1.3
MAX_ATTEMPTS = 3
ITEM_TOKENS = 10


class SearchDialect(PlainDialect):
    """Plain wire format that also reads entries of the store.

    Parameters
    ----------
    limit : int
        Limit on the tokens of waiting items, 0 for none.
    """

    configuration_prefix = "configuration/"
    upstreams_prefix = "upstreams/"

    def __init__(self, *, limit):
        self.limit = limit

    def decode_configuration(self, entry):
        if entry.key != CONFIGURATION_KEY:
            return None
        routes = [
            build_route(
                name="streams",
                prefix="/s/",
                timeout=STREAM_TIMEOUT_S,
                latency_target=LATENCY_TARGET_S,
                max_attempts=MAX_ATTEMPTS,
            ),
            build_route(
                name="jobs",
                prefix="/b/",
                kind=RouteKind.BATCH,
                max_attempts=MAX_ATTEMPTS,
                completion_seconds=COMPLETION_S,
                retention_seconds=RETENTION_S,
                max_waiting_tokens=self.limit,
            ),
        ]
        return build_table(routes, revision=entry.revision)

    @staticmethod
    def decode_retirement(entry):
        if not entry.key.startswith(RETIREMENT_PREFIX):
            return None
        instance = entry.key.removeprefix(RETIREMENT_PREFIX)
        return instance, float(entry.content)

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
                tokens=ITEM_TOKENS,
            )
            for row in parse_document(body)
        ]


def build_upstream_key(name):
    """Return the key of an upstream's entry."""
    return SearchDialect.upstreams_prefix + name


def encode_upstream(*, port, slots, version, started_at_ms, is_ready=True):
    """Encode the entry of an upstream."""
    values = {
        "port": port,
        "slots": slots,
        "version": version,
        "started_at_ms": started_at_ms,
        "is_ready": is_ready,
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
