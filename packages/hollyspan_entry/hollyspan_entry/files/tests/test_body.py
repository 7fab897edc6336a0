from twisted.internet import defer

from hollyspan_entry.files.body import BodyStream
from hollyspan_entry.files.body import HIGH_WATER_BYTES
from hollyspan_entry.files.bounded import BoundedBody


class RecordingTransport:
    def __init__(self):
        self.calls = []

    def pauseProducing(self):
        self.calls.append("pause")

    def resumeProducing(self):
        self.calls.append("resume")


def read(body):
    results = []
    defer.ensureDeferred(body.read()).addBoth(results.append)
    return results


def test_connection_is_paused_above_the_high_water_mark():
    transport = RecordingTransport()
    body = BodyStream(transport=transport)
    body.write(b"a" * HIGH_WATER_BYTES)
    body.write(b"b")
    assert transport.calls == ["pause"]
    read(body)
    assert transport.calls == ["pause"]
    read(body)
    assert transport.calls == ["pause", "resume"]


def test_read_waits_for_bytes_and_returns_the_end():
    body = BodyStream(transport=RecordingTransport())
    waiting = read(body)
    assert waiting == []
    body.write(b"a")
    assert waiting == [b"a"]
    body.finish()
    assert read(body) == [b""]


def test_lost_connection_fails_the_read():
    body = BodyStream(transport=RecordingTransport())
    waiting = read(body)
    body.close()
    assert waiting[0].type.__name__ == "InvalidRequestError"


def test_bounded_body_keeps_up_to_its_limit():
    body = BoundedBody(limit=4)
    for data in (b"abc", b"def", b"ghi"):
        body.write(data)
    body.seek(0)
    assert body.read() == b"abcde"
