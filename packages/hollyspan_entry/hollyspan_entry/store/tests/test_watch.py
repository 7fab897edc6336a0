"""Tests of a watch on the store."""

import os

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest
from twisted.web import resource
from twisted.web import server

from hollyspan_entry.store import open_store


class SilentWatch(resource.Resource):
    """Resource that answers a watch with a header and no events."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.started = defer.Deferred()
        self.ended = defer.Deferred()

    def render_POST(self, request):
        request.notifyFinish().addErrback(lambda _: self.ended.callback(None))
        request.write(b"{}\n")
        self.started.callback(None)
        return server.NOT_DONE_YET


class WatchTest(unittest.TestCase):
    timeout = 20

    async def test_stop_closes_the_connection(self):
        silent = SilentWatch()
        port = reactor.listenTCP(0, server.Site(silent), interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        url = f"http://127.0.0.1:{port.getHost().port}"
        with open_store(
            url=url,
            reactor=reactor,
            timeout=2.0,
            create_token=lambda: os.urandom(16),
        ) as store:
            watch = store.watch("a", on_event=self.fail, on_lost=self.fail)
            await silent.started
            while watch.connection is None:
                await wait_briefly()
            watch.stop()
            await silent.ended


def wait_briefly():
    done = defer.Deferred()
    reactor.callLater(0.01, done.callback, None)
    return done
