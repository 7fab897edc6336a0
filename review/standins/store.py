"""Stand-in of the platform's store."""

import asyncio
import base64
import json
from urllib.parse import parse_qs

from .wire import encode_answer
from .wire import read_body
from .wire import read_head
from .wire import reset

ANSWER_DELAY_S = 0.004
PAGE_ITEMS = 500
HISTORY_ITEMS = 100_000


class Store:
    """Keys with one revision counter, served over HTTP.

    Attributes
    ----------
    delay : float
        Time that an answer takes, seconds.
    cut_peers : set of str
        Addresses whose calls are reset.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.delay = ANSWER_DELAY_S
        self.cut_peers = set()
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        self.connections.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if peer in self.cut_peers:
                    reset(writer)
                    return
                status, document = await self.answer(request)
                if peer in self.cut_peers:
                    reset(writer)
                    return
                await asyncio.sleep(self.delay)
                writer.write(
                    encode_answer(
                        status,
                        [("Content-Type", "application/json")],
                        json.dumps(document).encode(),
                    )
                )
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def cut(self, peer):
        """Reset the connections of one address, and all its later calls."""
        self.cut_peers.add(peer)
        for writer in list(self.connections):
            if writer.get_extra_info("peername")[0] == peer:
                reset(writer)

    def heal(self, peer):
        self.cut_peers.discard(peer)

    async def answer(self, request):
        method, target, _ = request.start.split(" ", 2)
        path, _, query = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query).items()}
        name = path.rpartition("/")[2]
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (200 if item else 404), {
                **(item or {}),
                "CurrentRev": self.revision,
            }
        if name == "kv-range":
            return 200, self.list(query["Prefix"], query.get("After", ""))
        if name == "kv-watch":
            return await self.watch(
                query["Prefix"],
                int(query["After"]),
                int(query["WaitMs"]) / 1000,
            )
        if name == "kv-txn" and method == "POST":
            return await self.commit(json.loads(request.body))
        return 404, {}

    def list(self, prefix, after):
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            "Items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "MorePages": len(keys) > PAGE_ITEMS,
            "CurrentRev": self.revision,
        }

    def find_events(self, prefix, after):
        return [
            event
            for event in self.events
            if event["Revision"] > after and event["Key"].startswith(prefix)
        ]

    async def watch(self, prefix, after, seconds):
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(
                    lambda: self.find_events(prefix, after)
                )
        except TimeoutError:
            pass
        return 200, {
            "events": self.find_events(prefix, after),
            "CurrentRev": self.revision,
        }

    async def commit(self, body):
        rows = [*body["SetKeys"], *({"Key": k} for k in body["Remove"])]
        if any(r["Key"].startswith(("op/", "servers/")) for r in rows):
            return 403, {}
        found = [
            self.items.get(row["Key"], {"Key": row["Key"], "Revision": 0})
            for row in body["ExpectedRevision"]
        ]
        if any(
            item["Revision"] != row["Revision"]
            for item, row in zip(found, body["ExpectedRevision"])
        ):
            return 412, {"Items": found}
        await self.apply(
            {row["Key"]: row["Value"] for row in body["SetKeys"]},
            body["Remove"],
        )
        return 200, {"Revision": self.revision}

    async def apply(self, values, removed=()):
        """Apply one change of several keys; values are base64 text."""
        self.revision += 1
        for key, value in values.items():
            created = self.items.get(key, {}).get("CreatedRev", self.revision)
            item = {
                "Key": key,
                "Value": value,
                "Revision": self.revision,
                "CreatedRev": created,
                "Lease": 0,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {"Key": key, "Revision": self.revision, "Removed": True}
                )
        del self.events[:-HISTORY_ITEMS]
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, document):
        """Write a key as the operator or a replica does."""
        content = json.dumps(document).encode()
        await self.apply({key: base64.b64encode(content).decode()})

    async def remove(self, key):
        await self.apply({}, [key])
