"""A log whose reader is slow, gone or flooded."""

import json
import os

import pytest
from twisted.internet import task

from hollyspan_core.logs import bounded
from hollyspan_core.logs import BoundedLog

SECONDS = 40
LINES_A_SECOND = 200
TEXT = "x" * 200


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    open_ends = [reader, writer]
    yield open_ends
    for descriptor in open_ends:
        os.close(descriptor)


@pytest.fixture
def clock():
    clock = task.Clock()
    clock.advance(100.0)
    return clock


def read_all(reader):
    content = b""
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            return content
        if not part:
            return content
        content += part


def read_lines(reader):
    return [json.loads(line) for line in read_all(reader).splitlines()]


def test_lines_arrive_in_order(pipe, clock):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    for number in range(3):
        log({"message_type": "a", "number": number})
    assert [line["number"] for line in read_lines(pipe[0])] == [0, 1, 2]


def test_a_stalled_reader_blocks_nothing_and_no_loss_is_silent(pipe, clock):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    # More than the pipe and the buffer hold together.
    for _ in range(SECONDS):
        clock.advance(1.0)
        for _ in range(LINES_A_SECOND):
            log({"message_type": "a", "text": TEXT})
    content = b""
    for _ in range(400):
        content += read_all(pipe[0])
        clock.advance(bounded.RETRY_S)
    parsed = [json.loads(line) for line in content.splitlines()]
    written = sum(line["message_type"] == "a" for line in parsed)
    omitted = sum(
        line["lines"].get("a", 0)
        for line in parsed
        if line["message_type"] == bounded.OMITTED
    )
    assert omitted > 0
    assert written + omitted == SECONDS * LINES_A_SECOND


def test_a_flood_of_one_kind_leaves_the_others(pipe, clock):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    for _ in range(bounded.LINES_PER_KIND_S + 50):
        log({"message_type": "flood"})
    log({"message_type": "rare"})
    clock.advance(1.0)
    lines = read_lines(pipe[0])
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("flood") == bounded.LINES_PER_KIND_S
    assert "rare" in kinds
    assert lines[-1]["lines"] == {"flood": 50}


def test_a_reader_that_is_gone_does_no_harm(pipe, clock):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    os.close(pipe.pop(0))
    log({"message_type": "a"})
    log({"message_type": "a"})
    assert log.size == 0
