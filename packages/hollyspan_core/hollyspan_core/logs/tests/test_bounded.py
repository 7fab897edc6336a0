"""Tests of the bounded log with slow and closed readers and excess lines."""

import json
import os

import pytest
from twisted.internet import task

from hollyspan_core.logs import bounded
from hollyspan_core.logs import BoundedLog

DURATION_S = 40
LINES_PER_SECOND = 200
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


def test_a_stalled_reader_does_not_block_and_every_omission_is_counted(
    pipe, clock
):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    # More lines than fit into the pipe and the buffer together.
    for _ in range(DURATION_S):
        clock.advance(1.0)
        for _ in range(LINES_PER_SECOND):
            log({"message_type": "a", "text": TEXT})
    content = b""
    for _ in range(400):
        content += read_all(pipe[0])
        clock.advance(bounded.WRITE_RETRY_INTERVAL_S)
    parsed = [json.loads(line) for line in content.splitlines()]
    written = sum(line["message_type"] == "a" for line in parsed)
    omitted = sum(
        line["lines"].get("a", 0)
        for line in parsed
        if line["message_type"] == bounded.OMITTED_MESSAGE_TYPE
    )
    assert omitted > 0
    assert written + omitted == DURATION_S * LINES_PER_SECOND


def test_excess_lines_of_one_type_do_not_affect_other_types(pipe, clock):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    for _ in range(bounded.MAX_LINES_PER_TYPE_PER_S + 50):
        log({"message_type": "flood"})
    log({"message_type": "rare"})
    clock.advance(1.0)
    lines = read_lines(pipe[0])
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("flood") == bounded.MAX_LINES_PER_TYPE_PER_S
    assert "rare" in kinds
    assert lines[-1]["lines"] == {"flood": 50}


def test_a_closed_reader_raises_no_error(pipe, clock):
    log = BoundedLog(descriptor=pipe[1], reactor=clock)
    os.close(pipe.pop(0))
    log({"message_type": "a"})
    log({"message_type": "a"})
    assert log.buffered_bytes == 0
