"""Tests of reads whose connection to the store fails."""

import base64
import json
import os

from twisted.internet import reactor
from twisted.internet import tcp
from twisted.trial import unittest
from twisted.web import resource
from twisted.web import server

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.store import open_store

EMPTY_ANSWER = b'{"kvs": [], "header": {"revision": "1"}}'


class FailingStore(resource.Resource):
    """Resource that closes connections, or answers with a status.

    Attributes
    ----------
    failures : int
        Number of calls whose connection is closed without an answer.
    status : int
    calls : int
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.failures = 0
        self.status = 200
        self.calls = 0

    def render_POST(self, request):
        self.calls += 1
        if self.failures:
            self.failures -= 1
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        request.setResponseCode(self.status)
        return EMPTY_ANSWER


class ReadTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.store_page = FailingStore()
        self.listen(0)
        self.addCleanup(lambda: self.port.stopListening())

    def listen(self, number):
        self.port = reactor.listenTCP(
            number, server.Site(self.store_page), interface="127.0.0.1"
        )

    async def drop_connections(self):
        """Stop to listen, and close all connections."""
        await self.port.stopListening()
        for reader in reactor.getReaders():
            if isinstance(reader, tcp.Server):
                reader.abortConnection()

    def open(self):
        url = f"http://127.0.0.1:{self.port.getHost().port}"
        return open_store(
            url=url,
            reactor=reactor,
            timeout=2.0,
            create_token=lambda: os.urandom(16),
        )

    async def assert_unavailable(self, store):
        try:
            await store.get("a")
        except StoreUnavailableError:
            return
        self.fail("the read succeeded")

    # Failure: callers got 503 for a read over a connection that was gone,
    # though the store answered.
    async def test_a_read_over_a_lost_connection_is_sent_again(self):
        with self.open() as store:
            assert await store.get("a") is None
            self.store_page.failures = 2
            assert await store.get("a") is None
            self.store_page.failures = 2
            page = await store.list("a")
            assert page.entries == []

    # Failure: the same while no connection could be opened for a moment.
    async def test_a_read_without_a_connection_is_sent_again(self):
        number = self.port.getHost().port
        with self.open() as store:
            assert await store.get("a") is None
            await self.drop_connections()
            reactor.callLater(0.02, self.listen, number)
            assert await store.get("a") is None

    async def test_a_store_that_is_away_is_called_once(self):
        with self.open() as store:
            self.store_page.failures = 9
            await self.assert_unavailable(store)
            assert self.store_page.calls == 1

    async def test_a_refused_read_is_not_sent_again(self):
        with self.open() as store:
            assert await store.get("a") is None
            self.store_page.status = 503
            await self.assert_unavailable(store)
            assert self.store_page.calls == 2


class LargeStore(resource.Resource):
    """Resource with large values.

    Attributes
    ----------
    limits : list of int
        Number of entries that each call asks for.
    """

    isLeaf = True

    def __init__(self, *, count, size):
        super().__init__()
        self.pairs = [
            {
                "key": encode(b"a%03d" % number),
                "value": encode(bytes(16) + bytes(size)),
                "mod_revision": "1",
            }
            for number in range(count)
        ]
        self.limits = []

    def render_POST(self, request):
        call = json.loads(request.content.read())
        limit = int(call.get("limit", 1))
        self.limits.append(limit)
        start = base64.b64decode(call["key"])
        following = [
            pair
            for pair in self.pairs
            if base64.b64decode(pair["key"]) >= start
        ]
        return json.dumps(
            {
                "kvs": following[:limit],
                "more": len(following) > limit,
                "header": {"revision": "1"},
            }
        ).encode()


def encode(data):
    return base64.b64encode(data).decode()


class LargeListTest(unittest.TestCase):
    timeout = 30

    # An answer with all entries that are asked for exceeds its limit.
    async def test_a_list_of_large_values_is_read_in_parts(self):
        page = LargeStore(count=20, size=1_000_000)
        port = reactor.listenTCP(0, server.Site(page), interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        with open_store(
            url=f"http://127.0.0.1:{port.getHost().port}",
            reactor=reactor,
            timeout=10.0,
            create_token=lambda: os.urandom(16),
        ) as store:
            keys = []
            after = None
            while True:
                part = await store.list("a", after=after, limit=100)
                keys += [entry.key for entry in part.entries]
                if not part.has_more:
                    break
                after = part.entries[-1].key
        self.assertEqual(keys, [f"a{number:03d}" for number in range(20)])
        self.assertEqual(page.limits, [100, 8, 100, 8, 100])
